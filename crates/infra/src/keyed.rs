//! Streams whose records have keys: the newest record of each key is kept for good.

use pumicecleat_types::LogRecord;

use crate::{Local, Log, ReadError};

/// Record of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` drops the key.
    pub value: Option<Vec<u8>>,
    /// Offset in the stream.
    pub offset: u64,
}

/// Newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestRecords {
    /// Records, one a key.
    pub records: Vec<KeyedRecord>,
    /// Offset from which to follow the stream for what came later.
    pub next: u64,
    /// How often the log has come back from an older copy, if it tells.
    pub era: Option<u64>,
}

/// A log whose streams have keys.
pub trait KeyedLog: Log {
    /// Newest record of each key of `stream`. Not a snapshot: records may be newer than `next`.
    ///
    /// # Errors
    /// [`ReadError::Failed`], with the step and the peer.
    fn newest<'a>(&'a self, stream: &'a str) -> Local<'a, Result<NewestRecords, ReadError>>;

    /// Record that gives `key` a value, or drops the key if `value` is empty.
    fn keyed_record(&self, key: &str, value: &[u8]) -> Vec<u8>;

    /// Record of the stream with its key, or `None` if it has none.
    fn keyed(&self, record: &LogRecord) -> Option<KeyedRecord>;
}
