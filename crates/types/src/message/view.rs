//! Figures of many engines in one exchange. An entry requests them from a side that acts as its relay;
//! the relay collects them from other sides.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{CachedAdapters, EngineFigures, ReadPositions, StreamMarks, StreamsReply, SuspectNews};
use crate::{DataCentre, ServiceId, VmId};

/// An engine whose figures are requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance that the caller expects at the address.
    pub instance: String,
    /// Data centre.
    pub centre: DataCentre,
    /// Address of the engine's side.
    pub side: SocketAddr,
}

/// Kind of process that requests a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Viewer {
    /// An entry, which requests the figures of all members.
    #[default]
    Entry,
    /// A side that acts as a relay. The reply leaves out what the called side has from relays of other
    /// data centres.
    Relay,
}

/// Request for the figures of many engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewCall {
    /// VM of the caller.
    pub caller: VmId,
    /// Kind of the caller.
    pub viewer: Viewer,
    /// Latest positions of the platform's streams that the caller knows.
    pub marks: StreamMarks,
    /// Digest of the list of members; 0 for a reply without rows.
    pub digest: u64,
    /// The members, unless the relay is expected to know them by their digest.
    pub members: Option<Vec<Member>>,
    /// Cursor of the last reply that the caller received from this relay; the default before the first.
    pub seen: ChangeCursor,
    /// Changes of the suspects.
    pub suspects: SuspectNews,
    /// Positions up to which the caller has read the platform's streams.
    #[serde(default)]
    pub read_to: ReadPositions,
}

/// Position in the sequence of changes that a process has recorded since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCursor {
    /// Random number that identifies the start of the process.
    pub start: u64,
    /// Number of changes up to the position.
    pub count: u64,
}

/// Maximum size of an encoded [`ViewReply`], bytes: the changes of two streams, up to 1 MiB of values each, and a row for
/// each engine.
pub const MAX_VIEW_BYTES: u64 = 8 << 20;

/// Reply to a [`ViewCall`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewReply {
    /// Whether the relay doesn't know the members of the digest, so that the caller has to send them.
    pub unknown: bool,
    /// Cursor for the next call.
    pub seen: ChangeCursor,
    /// One row for each member.
    pub rows: Vec<ViewRow>,
    /// Number of entries that the relay has recently been in contact with or heard of.
    pub entries: u32,
    /// Latest positions of the platform's streams that the relay knows.
    pub marks: StreamMarks,
    /// Changes of the suspects.
    pub suspects: SuspectNews,
    /// What the relay has read of the platform's streams, if it follows them.
    #[serde(default)]
    pub streams: Option<StreamsReply>,
}

/// Request for the engines that suit a request best.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidatesCall {
    /// Service of the engines.
    pub service: ServiceId,
    /// Adapter, if the request uses one.
    pub adapter: Option<String>,
    /// Minimum version of the adapter.
    pub min_version: u64,
    /// Number of prompt tokens of the request.
    pub prompt_tokens: u32,
    /// Instances that the caller does not use.
    pub without: Vec<String>,
}

/// Reply to a [`CandidatesCall`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidatesReply {
    /// The engines, best first; `None` if the called side doesn't know the engines.
    pub rows: Option<Vec<ViewRow>>,
}

/// One engine in a view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRow {
    /// Instance that the caller named.
    pub instance: String,
    /// Reachability, as shown by exchanges with its side.
    pub reach: Reachability,
    /// Age of the figures, ms.
    pub age_ms: u64,
    /// Figures, if any were received.
    pub figures: Option<EngineFigures>,
    /// Adapters that the engine's host caches, if they changed since the reply that the caller names.
    #[serde(rename = "kept")]
    pub cached_adapters: Option<CachedAdapters>,
}

/// Reachability of an engine, as shown by exchanges with its side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reachability {
    /// The side responds, or it is down but its VM responds.
    #[default]
    #[serde(rename = "Sound")]
    Reachable,
    /// The VM does not respond.
    #[serde(rename = "CutOff")]
    Unreachable,
    /// The side reports another instance, or none.
    Replaced,
}

/// Request of a relay to a side for the figures of its engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FiguresCall {
    /// Instance that the relay expects at the side.
    pub instance: String,
    /// Digest of the cached adapters that the relay knows; 0 if it knows none.
    #[serde(rename = "kept")]
    pub cached_digest: u64,
    /// Latest positions of the platform's streams that the relay knows.
    pub marks: StreamMarks,
}

/// Reply to a [`FiguresCall`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FiguresReply {
    /// State of the engine, as known to the side.
    pub figures: EngineFigures,
    /// Adapters that the engine's host caches, if their digest differs from that in the call.
    #[serde(rename = "kept")]
    pub cached_adapters: Option<CachedAdapters>,
    /// Latest positions of the platform's streams that the side knows.
    pub marks: StreamMarks,
}
