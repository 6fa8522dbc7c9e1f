//! What goes into a scheduler and what it orders.

use pumicecleat_types::{Millis, Reason};

use crate::{CallerIx, LoraIx};

/// Number of a request at one side, unique while the side lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request that waits for the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number, unique while the side lives.
    pub id: JobId,
    /// Adapter, or `None` where none is needed: the base model alone, or a plain service.
    pub lora: Option<LoraIx>,
    /// Caller whose share it uses.
    pub caller: CallerIx,
    /// The caller's claim, a weight from 1.
    pub claim: u32,
    /// Higher goes first among one caller's requests.
    pub priority: u8,
    /// When the whole answer is due.
    pub deadline: Millis,
    /// When it reached this side.
    pub arrived: Millis,
    /// Tokens that the answer may have; any unit of work that is the same for all requests will do.
    pub tokens: u32,
}

/// Final word that a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobRefusal {
    /// Why.
    pub reason: Reason,
    /// Span after which a repeat is likely to be met.
    pub retry_after: Millis,
}

/// Bid for a turn at the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bid {
    /// Adapter wanted.
    pub lora: LoraIx,
    /// Requests waiting for it here.
    pub waiting: u32,
    /// Least span left to start one of them.
    pub left: Millis,
    /// Longest wait so far among them.
    pub waited: Millis,
}

/// Order of a scheduler to its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the engine now; it counts as sent, and its adapter is pinned.
    Send(JobId),
    /// Tell the entry that the request was not run; the scheduler has forgotten it.
    Refuse(JobId, JobRefusal),
    /// Ask for a turn, or keep the turn held; answer by `bid_answered` or `bid_unanswered`.
    Bid(Bid),
    /// Give the turn back; no answer is wanted.
    ReleaseTurn,
    /// Order the engine to load; answer by `loaded`.
    Load(LoraIx),
    /// Order the engine to unload; answer by `unloaded`.
    Unload(LoraIx),
}

/// How an ordered load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The adapter is resident.
    Done,
    /// The engine or store could not load it.
    Failed,
    /// The store is busy and pushes back.
    Busy {
        /// Span until it may be tried again.
        retry_after: Millis,
    },
}
