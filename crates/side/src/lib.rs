//! The sidecar process of an upstream. It queues requests, orders the loading and unloading of
//! adapters, tracks which adapters are resident, and runs each keyed call at most once.
//!
//! A [`Side`] is the only process that gives orders to its upstream. It binds a slot, which is an
//! exclusive port, so that only one side runs on a VM. It fetches the configuration from entries,
//! and answers `POST /peer/v1/run` with a stream of `pumicecleat_types::Frame`.
//!
//! ```no_run
//! use pumicecleat_net::{Timer, run};
//! use pumicecleat_ops::{Log, Settings, Stop};
//! use pumicecleat_side::{Side, SideSettings};
//!
//! let settings = SideSettings::from_process("pumicecleat-side").unwrap();
//! let log = Log::new_ext(&settings.common.log_options("pumicecleat-side"));
//! run(async {
//!     let side = Side::start(settings, &Timer::start(), &log).unwrap();
//!     let stop = Stop::listen().unwrap();
//!     stop.requested().await;
//!     side.finish(&stop).await;
//! })
//! .unwrap();
//! ```

mod config;
mod dispatch;
mod dump;
mod entries;
mod keys;
mod lengths;
mod metrics;
mod orders;
mod peer;
mod report;
mod run;
mod settings;
mod start;
mod state;
mod tune;
mod watch;

pub use dump::SideDump;
pub use settings::SideSettings;
pub use start::{Side, StartError};
