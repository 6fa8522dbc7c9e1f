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
    /// Longest pause between two events that is on time; 0 if none is declared.
    pub(super) pause: Millis,
    /// Number of events observed.
    pub(super) events: u64,
    /// When the last of them was observed.
    pub(super) last_event: Millis,
    /// A longer pause was observed.
    pub(super) paused: bool,
}

impl RunningRequest {
    /// Time to the first event at `now` as a fraction of the expected time, or `None` if that was zero.
    pub(super) fn first_event_ratio(&self, now: Millis) -> Option<f64> {
        let expected = self.expected_prefill_end.since(self.granted).as_secs();
        (expected > 0.0).then(|| now.since(self.granted).as_secs() / expected)
    }

    /// Records the number of events so far; returns the mean gap between the new ones.
    pub(super) fn record_events(&mut self, events: u64, now: Millis) -> Option<Millis> {
        let new = events.checked_sub(self.events).filter(|new| *new > 0)?;
        let gap = Millis(now.since(self.last_event).0 / new);
        let is_first = self.events == 0;
        self.events = events;
        self.last_event = now;
        if is_first {
            return None;
        }
        self.paused |= self.pause > Millis(0) && gap > self.pause;
        Some(gap)
    }

    /// Time since the last event, if the stream has a longest pause and is still on time.
    pub(super) fn protected_gap(&self, now: Millis) -> Option<Millis> {
        let gap = now.since(self.last_event);
        let on_time = self.started && !self.paused && gap <= self.pause;
        (on_time && self.pause > Millis(0)).then_some(gap)
    }
}
