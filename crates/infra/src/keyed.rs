//! Keyed streams: the newest record of each key is never trimmed.

use std::time::Duration;

use pumicecleat_types::LogRecord;

use crate::{Local, Log, ReadError};

/// Record with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// Offset in the stream.
    pub offset: u64,
}

/// Newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestRecords {
    /// One record for each key.
    pub records: Vec<KeyedRecord>,
    /// Offset from which to follow the stream for later records.
    pub next: u64,
    /// Number of times that the log was restored from an older copy, if the log reports it.
    pub era: Option<u64>,
}

/// Log with keyed streams.
pub trait KeyedLog: Log {
    /// Newest record of each key of `stream`, if each page of them arrives within `timeout`. Not a snapshot: records
    /// may be newer than `next`.
    ///
    /// # Errors
    /// [`ReadError::Failed`], including the step and the peer.
    fn newest<'a>(
        &'a self,
        stream: &'a str,
        timeout: Duration,
    ) -> Local<'a, Result<NewestRecords, ReadError>>;

    /// Record that sets the value of `key`, or deletes the key if `value` is empty.
    fn keyed_record(&self, key: &str, value: &[u8]) -> Vec<u8>;

    /// Decodes a record of the stream; `None` if it has no key.
    fn keyed(&self, record: &LogRecord) -> Option<KeyedRecord>;
}
