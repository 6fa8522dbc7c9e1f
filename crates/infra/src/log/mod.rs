//! Log service: append-only streams of records that are read from an offset.

mod error;
mod http;

use std::time::Duration;

use pumicecleat_types::LogRecord;

use crate::Local;
pub use error::{AppendError, ReadError};
pub use http::HttpLog;

/// Position of appended records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first record; the others have the consecutive offsets.
    pub first: u64,
    /// Time of the append by the log's clock, milliseconds since 1970.
    pub at: u64,
}

/// Result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records as received; offsets are unchecked.
    pub records: Vec<LogRecord>,
    /// Oldest retained offset.
    pub first: u64,
    /// Next free offset.
    pub next: u64,
    /// Number of times that the log was restored from an older copy, if the log reports it.
    pub era: Option<u64>,
}

/// An append-only log of named streams.
pub trait Log {
    /// Atomically appends `records` with consecutive offsets at the end of `stream`.
    ///
    /// # Errors
    /// [`AppendError`]: `Refused` if they were not appended, `Lost` if they may have been.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> Local<'a, Result<Appended, AppendError>>;

    /// Reads at most `max` records of `stream` from offset `from`; waits up to `wait` for one.
    ///
    /// # Errors
    /// [`ReadError`]: `Trimmed` if the record at `from` is no longer retained.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Local<'a, Result<Batch, ReadError>>;
}
