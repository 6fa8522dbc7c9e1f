//! Settings, numbered log events, metrics, the admin listener and graceful shutdown.
//!
//! A daemon declares its settings with [`settings!`], logs the events defined in [`events`],
//! serves [`Admin`] beside its own listeners, and shuts down with [`Stop`] and [`Drain`].
//!
//! ```
//! use pumicecleat_ops::{Log, LogOptions, Settings, events, field, settings};
//! use std::collections::BTreeMap;
//!
//! settings! {
//!     /// Prints greetings.
//!     pub struct HelloSettings {
//!         /// greetings per second
//!         rate: u32 = "10", "1/s";
//!     }
//! }
//!
//! let environment = BTreeMap::from([("PUMICECLEAT_VM".to_owned(), "vm-1".to_owned())]);
//! let args = ["--rate", "20", "--data-centre", "bp-a", "--region", "hu-central"];
//! let settings = HelloSettings::read("hello", &args, &environment).unwrap();
//! assert_eq!(settings.rate, 20);
//! assert_eq!(settings.common.vm.as_str(), "vm-1");
//!
//! let log = Log::new_ext(&settings.common.log_options("hello"));
//! log.emit(&events::STARTED, &[field("version", "0.1.0")]);
//! ```

mod admin;
mod capacity;
mod listen;
mod log;
mod metrics;
mod ready;
mod settings;
mod stop;

pub use admin::{Admin, Dump};
pub use capacity::{Capacity, operator_options};
pub use listen::{ListenError, listen};
pub use log::events;
pub use log::{Event, Field, FieldValue, Level, Log, LogFormat, LogOptions, field};
pub use metrics::{Buckets, Counter, Family, Gauge, Histogram, Histograms, LabelSet, Metrics};
pub use ready::{Readiness, UnmetCondition};
pub use settings::{
    ByteSize, CommonSettings, DescriptorLimit, HumanDuration, MemoryLimit, Resolver, SettingFault,
    SettingFaultKind, SettingOrigin, SettingSpec, SettingValue, Settings, SettingsExit,
    process_environment,
};
pub use stop::{Drain, DrainGuard, DrainOutcome, Reload, Stop, StopError};

#[doc(hidden)]
pub use argh;
