//! State of a request that was granted a turn.

use pumicecleat_types::Millis;

/// A request that was granted a turn and has not ended.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    pub(super) adapter: Option<String>,
    pub(super) prompt_tokens: u32,
    /// When the turn was granted.
    pub(super) granted: Millis,
    /// When its prefill was expected to be complete.
    pub(super) expected_prefill_end: Millis,
    /// Its first event was observed.
    pub(super) started: bool,
    /// It has appeared in a report of the engine.
    pub(super) reported: bool,
}

impl RunningRequest {
    /// Time to the first event at `now` as a fraction of the expected time, or `None` if that was zero.
    pub(super) fn first_event_ratio(&self, now: Millis) -> Option<f64> {
        let expected = self.expected_prefill_end.since(self.granted).as_secs();
        (expected > 0.0).then(|| now.since(self.granted).as_secs() / expected)
    }
}
