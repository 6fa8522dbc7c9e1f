//! Clients of the platform services: log, weight store and VM list.
//!
//! The rest of the system uses the traits [`Log`], [`Store`] and [`Vms`] as trait objects.
//! [`HttpLog`], [`HttpStore`] and [`HttpVms`] implement them with the HTTP API of
//! `docs/PLATFORM.md`. Errors state whether a change may have taken effect:
//! [`AppendError::Refused`] did not, [`AppendError::Lost`] may have. [`Follower`] reads a stream
//! without gaps, [`Appender`] batches records of many tasks into one append.
//!
//! ```
//! use std::time::Duration;
//! use pumicecleat_net::{Client, ClientOptions, Timer, run};
//! use pumicecleat_infra::{AppendError, HttpLog, Log, Peers};
//!
//! let result = run(async {
//!     let client = Client::new_ext(ClientOptions::default(), &Timer::start());
//!     let log = HttpLog::new(&client, Peers::parse("127.0.0.1:1"), Duration::from_secs(2));
//!     log.append("config", vec![b"record".to_vec()]).await
//! });
//! assert!(matches!(result.unwrap(), Err(AppendError::Refused { .. })));
//! ```

mod appender;
mod backoff;
mod follower;
mod http;
mod keyed;
mod log;
mod newest;
mod store;
mod vms;

pub use appender::{AppendOptions, AppendedRecord, Appender, SubmitError};
pub use backoff::{BackoffOptions, as_millis};
pub use follower::{
    FollowError, FollowEvent, FollowOptions, Follower, KeyedEvent, KeyedFollower, ReadStart,
};
pub use http::{Peers, RequestError};
pub use keyed::{KeyedLog, KeyedRecord, NewestRecords};
pub use log::{AppendError, Appended, Batch, HttpLog, Log, ReadError};
pub use newest::read_newest;
pub use pumicecleat_net::Local;
pub use store::{HttpStore, Store, StoreError};
pub use vms::{HttpVms, VmList, Vms, VmsError};
