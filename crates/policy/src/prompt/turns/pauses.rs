//! Pauses between the events of streams, which the prefill of other prompts causes.
//!
//! Each step of an engine that prefills also processes a chunk of a prompt, so that a stream beside it gets its
//! tokens several times more slowly. An engine that prefills without interruption may exceed the longest pause
//! that a stream's route declares. Prompts are then held back until the streams have got their next events.
//!
//! A stream that has already exceeded its pause loses nothing by another one and is not waited for.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use super::run::RunningRequest;

/// Weight of the newest gap in the usual gap.
const NEWEST_WEIGHT: f64 = 0.1;

/// Longest gap that counts, in usual gaps. A slowdown of the engine should be noticed, not learned.
const MAX_GAP_RATIO: f64 = 1.5;

/// Number of usual gaps after which an event counts as overdue. Reports come every 25 ms, and no two gaps are
/// alike.
const OVERDUE_RATIO: f64 = 1.15;

/// Part of the longest pause for which prompts are sent to the engine in advance: what has been sent can't be
/// held back any more.
const AHEAD_PART: f64 = 0.25;

/// Observed gaps between events, and the decision whether streams need time without prefill.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PauseGuard {
    /// Part of the longest pause after which prompts are held back; 0 for never.
    part: f64,
    /// Mean gap between events beside prefill, ms; 0 before the first.
    usual_ms: f64,
}

impl PauseGuard {
    /// Sets the part of the longest pause after which prompts are held back; 0 for never.
    pub(super) fn set_part(&mut self, part: f64) {
        self.part = part;
    }

    /// Forgets what was observed, because the engine has restarted.
    pub(super) fn reset(&mut self) {
        self.usual_ms = 0.0;
    }

    /// Records a gap between two events of a stream beside prefill.
    pub(super) fn record_gap(&mut self, gap: Millis) {
        let gap_ms = to_ms(gap);
        if self.usual_ms == 0.0 {
            self.usual_ms = gap_ms;
        }
        let counted = gap_ms.min(self.usual_ms * MAX_GAP_RATIO);
        self.usual_ms += NEWEST_WEIGHT * (counted - self.usual_ms);
    }

    /// Whether a stream needs its next event before the engine gets another prompt.
    pub(super) fn holds_back(
        &self,
        running: &BTreeMap<String, RunningRequest>,
        now: Millis,
    ) -> bool {
        self.part > 0.0 && running.values().any(|run| self.is_overdue(run, now))
    }

    fn is_overdue(&self, run: &RunningRequest, now: Millis) -> bool {
        let Some(gap) = run.protected_gap(now) else {
            return false;
        };
        let overdue_ms = self.usual_ms * OVERDUE_RATIO;
        to_ms(gap) >= overdue_ms.max(to_ms(run.pause) * self.part)
    }

    /// Longest prefill that is sent in advance, at most `usual`.
    pub(super) fn max_ahead(
        &self,
        running: &BTreeMap<String, RunningRequest>,
        usual: Millis,
        now: Millis,
    ) -> Millis {
        if self.part == 0.0 {
            return usual;
        }
        let protected = running
            .values()
            .filter(|run| run.protected_gap(now).is_some());
        let shortest = protected.map(|run| run.pause).min();
        shortest.map_or(usual, |pause| usual.min(scale(pause, AHEAD_PART)))
    }

    /// Whether streams are watched at all.
    pub(super) fn is_on(&self) -> bool {
        self.part > 0.0
    }
}

fn to_ms(span: Millis) -> f64 {
    span.as_secs() * 1_000.0
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a span far below 2^52 ms"
)]
fn scale(span: Millis, factor: f64) -> Millis {
    Millis((to_ms(span) * factor) as u64)
}
