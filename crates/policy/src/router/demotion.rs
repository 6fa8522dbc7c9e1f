//! Demotion: a stalled upstream stands behind its peers for a while, but is never excluded.
//!
//! The time doubles while stalls follow each other. Once it has passed, a single attempt tries the
//! upstream, and an answer that begins ends the demotion.

use pumicecleat_types::Millis;

use super::options::RouterOptions;

/// Demotion of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demotion {
    /// Stalls since the last answer.
    stalls: u32,
    /// Behind its peers until this time.
    until: Millis,
    /// Time of the attempt that tries it.
    probe: Option<Millis>,
}

impl Demotion {
    /// Whether the upstream stands behind its peers.
    pub(super) fn holds(&self, now: Millis, options: &RouterOptions) -> bool {
        let probed = |at: Millis| options.single_probe && now.since(at) < options.max_demotion;
        self.until > now || self.probe.is_some_and(probed)
    }

    /// Notes an attempt sent.
    pub(super) fn sent(&mut self, now: Millis) {
        if self.stalls > 0 && self.until <= now {
            self.probe = Some(now);
        }
    }

    /// Notes an attempt that ended without an answer; attempts of one time count as one stall.
    pub(super) fn stall(&mut self, now: Millis, options: &RouterOptions) {
        let Some(span) = options.initial_demotion else {
            return;
        };
        if self.until <= now {
            self.stalls += 1;
        }
        self.probe = None;
        let times = 1_u64 << (self.stalls - 1).min(32);
        let span = span.0.saturating_mul(times).min(options.max_demotion.0);
        self.until = self.until.max(now + Millis(span));
    }
}
