//! Events of a replay.

use pumicecleat_policy::{AttemptOutcome, Bid, JobId, LoraIx, UpstreamIx, UpstreamStatus};
use pumicecleat_types::{LoadTurn, Millis};

use crate::policy::rules::View;

/// A caller's request, or its return after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Call {
    pub(super) ask: usize,
    pub(super) again: bool,
}

/// Event.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A request reaches its entry.
    Arrive(Call),
    /// The caller's patience ends.
    Deadline(Call),
    /// An attempt reaches its side.
    Submit(JobId),
    /// The end of an attempt reaches its entry.
    Ended(Ended),
    /// An engine ends a step.
    Step(At),
    /// A side reports to every entry.
    Report(UpstreamIx),
    /// A report reaches its entry.
    Heard(Box<Heard>),
    /// A bid reaches the entry that keeps the order of loads.
    Bid(At, Option<Bid>),
    /// Its answer reaches the side.
    Turn(At, LoadTurn),
    /// No answer came.
    NoTurn(At),
    /// A load may have ended, unless the store changed since.
    Store(u64),
    /// The store pushed a load back.
    Busy(At, LoraIx),
    /// An unload ended.
    Unloaded(At, LoraIx),
    /// A side wants to be polled.
    Wake(UpstreamIx),
    /// A fault begins or ends.
    Fault(Turn),
}

/// An upstream in one of its lives: events of an earlier life are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct At {
    pub(super) up: UpstreamIx,
    pub(super) life: u32,
}

/// End of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    pub(super) call: Call,
    pub(super) up: UpstreamIx,
    pub(super) outcome: AttemptOutcome,
    /// Span after which to come back, if refused.
    pub(super) retry: Millis,
}

/// A report on its way.
#[derive(Clone, Debug)]
pub(super) struct Heard {
    pub(super) entry: usize,
    pub(super) up: UpstreamIx,
    pub(super) state: UpstreamStatus,
    pub(super) view: View,
}

/// Turn of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Turn {
    Crash(UpstreamIx),
    Recover(UpstreamIx),
    Leave(UpstreamIx),
    Speed(f64),
    OrderDown(bool),
}
