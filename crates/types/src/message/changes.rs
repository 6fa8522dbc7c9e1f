//! Changes of the platform's streams that one process passes on to others.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use super::EndRead;
use crate::Position;

/// Positions up to which a process has read the streams; the default for streams that it does not follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPositions {
    /// Stream of the operators' records.
    pub operators: Position,
    /// Stream of the list of upstreams.
    pub upstreams: Position,
}

/// What a process that follows the streams passes on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamsReply {
    /// Latest read of the operators' records to their end by the process itself.
    pub operators_read: Option<EndRead>,
    /// Latest read of the list of upstreams, likewise.
    pub upstreams_read: Option<EndRead>,
    /// Time since the list was available again after the last outage that the process saw, ms.
    #[serde(default)]
    pub recovered_ms: Option<u64>,
    /// Changes of the operators' records since the position in the call, if there are any.
    pub operators: Option<StreamChanges>,
    /// Changes of the list of upstreams, likewise.
    pub upstreams: Option<StreamChanges>,
}

/// Changes of one stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamChanges {
    /// Position from which on the changes are complete.
    pub from: Position,
    /// Position up to which they are complete.
    pub to: Position,
    /// Records that changed something, in the order of their offsets.
    pub records: Vec<ChangedRecord>,
}

/// Record of a keyed stream.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` if the key was deleted.
    #[serde_as(as = "Option<Bytes>")]
    pub value: Option<Vec<u8>>,
    /// Offset in the stream.
    pub offset: u64,
}
