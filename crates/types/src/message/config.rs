//! Distribution of the configuration log to processes that don't read the log themselves.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

/// A record of the log.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Time of the append by the log's clock, milliseconds since the Unix epoch.
    pub at: u64,
    /// Content of the record.
    #[serde_as(as = "Bytes")]
    pub data: Vec<u8>,
}

/// Request of a side, or of an entry that starts, to an entry for the records from an offset on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCall {
    /// First offset to return, or `None` for a snapshot.
    pub from: Option<u64>,
}

/// Reply of an entry to a [`ConfigCall`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigReply {
    /// Records from the requested offset on; empty if there are none yet.
    Records(Vec<LogRecord>),
    /// Complete state, as an encoded snapshot of the configuration fold.
    Snapshot(#[serde_as(as = "Bytes")] Vec<u8>),
    /// The entry has no configuration yet.
    NotReady,
}
