//! The process that serves callers: authentication, choice of upstream, retries, and complete
//! answers.
//!
//! [`Entry::start`] starts an entry on this thread's event loop from its [`EntrySettings`] and an
//! [`EntryContext`]. The daemon only reads the settings and calls it.
//!
//! `caller` receives requests, `request` makes attempts until one is answered completely, `stream`
//! forwards streams and resumes broken ones, `directory` chooses among sides, `config` follows the
//! configuration in the log, and `peer` serves sides and other entries.
//!
//! ```no_run
//! use pumicecleat_entry::{Entry, EntryContext, EntrySettings};
//! use pumicecleat_net::{Timer, run};
//! use pumicecleat_ops::{Log, Settings, Stop};
//!
//! let settings = EntrySettings::from_process("pumicecleat-entry").unwrap();
//! let log = Log::new_ext(&settings.common.log_options("pumicecleat-entry"));
//! let end = run(async {
//!     let timer = Timer::start();
//!     let stop = Stop::listen().unwrap();
//!     let context = EntryContext::over_http(&settings, &timer);
//!     let entry = Entry::start(&settings, &context, &timer, &log, &stop).unwrap();
//!     entry.run().await
//! });
//! assert!(end.unwrap().aborted().is_empty());
//! ```

mod api_error;
mod caller;
mod config;
mod directory;
mod meters;
mod peer;
mod request;
mod settings;
mod shared;
mod start;
mod stream;

pub use config::ConfigDump;
pub use directory::SideDump;
pub use settings::EntrySettings;
pub use start::{Addresses, Entry, EntryContext, EntryDump, OrderDump, StartError};
