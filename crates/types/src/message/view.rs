//! Figures of many engines at once: what an entry asks of one side that gathers for it, and what that
//! side asks of others.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{CachedAdapters, EngineFigures, StreamMarks, SuspectNews};
use crate::{DataCentre, VmId};

/// An engine whose figures are wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance that the asker believes to be there.
    pub instance: String,
    /// Data centre.
    pub centre: DataCentre,
    /// Address of the side beside it.
    pub side: SocketAddr,
}

/// Who asks for a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Viewer {
    /// An entry: wants all members.
    #[default]
    Entry,
    /// A side that gathers for entries: wants what the one asked has by itself.
    Relay,
}

/// Ask for the figures of many engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewCall {
    /// VM of the asker.
    pub caller: VmId,
    /// What it is.
    pub viewer: Viewer,
    /// How far the asker knows the platform's streams to reach.
    pub marks: StreamMarks,
    /// Digest of the members wanted.
    pub digest: u64,
    /// The members, unless the one asked is taken to know them by their digest.
    pub members: Option<Vec<Member>>,
    /// Last reply that the asker had from here; nothing at first.
    pub seen: ChangeCursor,
    /// Requests under which upstreams ended.
    pub suspects: SuspectNews,
}

/// A reply of one start of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCursor {
    /// Which start of the relay; a random number.
    pub start: u64,
    /// Count of changes up to the reply.
    pub count: u64,
}

/// Figures of many engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewReply {
    /// The members of this digest are not known: they have to be sent.
    pub unknown: bool,
    /// What a later call names as seen.
    pub seen: ChangeCursor,
    /// A row a member.
    pub rows: Vec<ViewRow>,
    /// Entries heard of lately.
    pub entries: u32,
    /// How far the relay knows the platform's streams to reach.
    pub marks: StreamMarks,
    /// Requests under which upstreams ended.
    pub suspects: SuspectNews,
}

/// One engine in a view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRow {
    /// Instance that the asker named.
    pub instance: String,
    /// What exchanges with its side tell.
    pub reach: Reachability,
    /// Age of its figures, ms.
    pub age_ms: u64,
    /// Its figures, if any were had.
    pub figures: Option<EngineFigures>,
    /// Adapters that its host keeps, if they changed since the reply that the asker has seen.
    #[serde(rename = "kept")]
    pub cached_adapters: Option<CachedAdapters>,
}

/// What exchanges with a side tell of its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reachability {
    /// Nothing against it: the side answers, or is down on a VM that answers.
    #[default]
    #[serde(rename = "Sound")]
    Reachable,
    /// The VM does not answer.
    #[serde(rename = "CutOff")]
    Unreachable,
    /// The side names another instance in its place, or none.
    Replaced,
}

/// Ask of a relay for one engine's figures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FiguresCall {
    /// Instance that is believed to be there.
    pub instance: String,
    /// Digest of the kept adapters that the relay knows; 0 before the first.
    #[serde(rename = "kept")]
    pub cached_digest: u64,
    /// How far the relay knows the platform's streams to reach.
    pub marks: StreamMarks,
}

/// One engine's figures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FiguresReply {
    /// The engine, as the side knows it.
    pub figures: EngineFigures,
    /// Adapters that the engine's host keeps, if they aren't those that the relay knows.
    #[serde(rename = "kept")]
    pub cached_adapters: Option<CachedAdapters>,
    /// How far the side knows the platform's streams to reach.
    pub marks: StreamMarks,
}
