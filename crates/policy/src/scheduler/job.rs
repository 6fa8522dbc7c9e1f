//! Inputs and actions of the scheduler.

use pumicecleat_types::{Millis, Reason};

use crate::{CallerIx, LoraIx};

/// Number of a request at one side, unique while the side's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request that waits for the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number of the request.
    pub id: JobId,
    /// Adapter, or `None` if none is needed: for the base model alone, or a plain service.
    pub lora: Option<LoraIx>,
    /// Caller whose share is charged for it.
    pub caller: CallerIx,
    /// The caller's claim: its weight in the fair shares, at least 1.
    pub claim: u32,
    /// Priority among one caller's requests; higher goes first.
    pub priority: u8,
    /// When the whole answer is due.
    pub deadline: Millis,
    /// When the request reached this side.
    pub arrived: Millis,
    /// Upper bound on the tokens of the answer. Any unit of work will do if all requests use the
    /// same.
    pub tokens: u32,
}

/// Refusal of a request; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobRefusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time after which a retry is likely to succeed.
    pub retry_after: Millis,
}

/// Bid for a turn at the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bid {
    /// Adapter to load.
    pub lora: LoraIx,
    /// Requests waiting for the adapter at this side.
    pub waiting: u32,
    /// Least time left until the latest start among them.
    pub left: Millis,
    /// Longest time that one of them has waited so far.
    pub waited: Millis,
}

/// Action that the scheduler orders its process to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the engine now. The scheduler counts it as sent and pins its adapter.
    Send(JobId),
    /// Tell the entry that the request was not run. The scheduler no longer tracks it.
    Refuse(JobId, JobRefusal),
    /// Bid for a turn, or renew the turn held. Report the result with
    /// [`bid_answered`](super::Scheduler::bid_answered) or
    /// [`bid_unanswered`](super::Scheduler::bid_unanswered).
    Bid(Bid),
    /// Release the turn; no answer is expected.
    ReleaseTurn,
    /// Order the engine to load the adapter. Report the result with
    /// [`loaded`](super::Scheduler::loaded).
    Load(LoraIx),
    /// Order the engine to unload the adapter. Report the result with
    /// [`unloaded`](super::Scheduler::unloaded).
    Unload(LoraIx),
}

/// Outcome of an ordered load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The adapter is resident.
    Done,
    /// The engine or the weight store could not load the adapter.
    Failed,
    /// The weight store is busy and refused the load for now.
    Busy {
        /// Time until the load may be retried.
        retry_after: Millis,
    },
}
