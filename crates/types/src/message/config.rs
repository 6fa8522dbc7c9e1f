//! How records of the configuration's log reach those who don't read the log.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

/// A record as it stands in the log.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset in its stream.
    pub offset: u64,
    /// Time of the append by the log's clock, milliseconds since 1970.
    pub at: u64,
    /// Bytes appended.
    #[serde_as(as = "Bytes")]
    pub data: Vec<u8>,
}

/// Side or starting entry to entry: what follows this offset?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCall {
    /// First offset wanted, or `None` for a snapshot.
    pub from: Option<u64>,
}

/// Entry's reply.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigReply {
    /// Records from the offset asked for on; none if there is nothing newer.
    Records(Vec<LogRecord>),
    /// Whole state, as a fold's encoded snapshot.
    Snapshot(#[serde_as(as = "Bytes")] Vec<u8>),
    /// This entry holds no configuration yet.
    NotReady,
}
