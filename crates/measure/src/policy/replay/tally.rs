//! What a replay counts.

use pumicecleat_types::Millis;

use crate::policy::trace::Trace;

/// Counts of one replay; vectors have one item for each request of the trace.
#[derive(Clone, Debug, Default)]
pub(in crate::policy) struct Tally {
    /// Time waited for an adapter.
    pub(in crate::policy) stalls: Vec<Millis>,
    /// Time from reaching a side to the engine, stall included.
    pub(in crate::policy) waits: Vec<Millis>,
    /// Answered whole by the first deadline.
    pub(in crate::policy) met: Vec<bool>,
    /// Refusals that callers saw.
    pub(in crate::policy) refused: u64,
    /// Refused callers that came back when told.
    pub(in crate::policy) returned: u64,
    /// Those of them answered by their new deadline.
    pub(in crate::policy) kept: u64,
    pub(in crate::policy) loads: u64,
    pub(in crate::policy) evictions: u64,
    /// Tokens of answers that were whole in time.
    pub(in crate::policy) useful: u64,
    /// Steps of all engines with at least one request.
    pub(in crate::policy) steps: u64,
    /// Time to the first token, of those that got one.
    pub(in crate::policy) firsts: Vec<Millis>,
    /// Time that engines spent on reading prompts.
    pub(in crate::policy) prefill: Millis,
    /// Tokens of the prompts that engines began, and those of them found cached.
    pub(in crate::policy) prompted: u64,
    pub(in crate::policy) cached: u64,
}

impl Tally {
    pub(in crate::policy) fn new(trace: &Trace) -> Self {
        Self {
            stalls: vec![Millis(0); trace.asks.len()],
            waits: vec![Millis(0); trace.asks.len()],
            met: vec![false; trace.asks.len()],
            ..Self::default()
        }
    }
}
