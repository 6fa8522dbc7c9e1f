//! Log service: streams of records, appended at the end and read from an offset.

mod error;
mod http;

use std::time::Duration;

use pumicecleat_types::LogRecord;

use crate::Local;
pub use error::{AppendError, ReadError};
pub use http::HttpLog;

/// Where appended records stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first; the others follow in a row.
    pub first: u64,
    /// Time of the append by the log's clock, milliseconds since 1970.
    pub at: u64,
}

/// Records read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records, as the log gave them.
    pub records: Vec<LogRecord>,
    /// Oldest offset kept.
    pub first: u64,
    /// Next free offset.
    pub next: u64,
    /// How often the log has come back from an older copy, if it tells.
    pub era: Option<u64>,
}

/// An append-only log of named streams.
pub trait Log {
    /// Appends `records` in a row at the end of `stream`, all or none.
    ///
    /// # Errors
    /// [`AppendError`]: `Refused` if they don't stand, `Lost` if they may.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> Local<'a, Result<Appended, AppendError>>;

    /// Reads at most `max` records of `stream` from offset `from`; waits up to `wait` for one.
    ///
    /// # Errors
    /// [`ReadError`]: `Trimmed` if `from` is no longer kept.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Local<'a, Result<Batch, ReadError>>;
}
