//! Demotion of stalled upstreams: they rank behind their peers for a while, but are never excluded.
//!
//! The duration doubles with each consecutive stall. Once it has passed, a single attempt probes
//! the upstream; the demotion ends when an answer begins.

use pumicecleat_types::Millis;

use super::options::RouterOptions;

/// Demotion state of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demotion {
    /// Stalls since the last answer.
    consecutive_stalls: u32,
    /// Time until which the upstream ranks behind its peers.
    demoted_until: Millis,
    /// Time of the attempt that probes the upstream.
    probe_sent_at: Option<Millis>,
}

impl Demotion {
    /// Whether the upstream ranks behind its peers.
    pub(super) fn is_active(&self, now: Millis, options: &RouterOptions) -> bool {
        let is_probing = |at: Millis| options.single_probe && now.since(at) < options.max_demotion;
        self.demoted_until > now || self.probe_sent_at.is_some_and(is_probing)
    }

    /// Records a sent attempt; after a demotion, it is the probe.
    pub(super) fn record_send(&mut self, now: Millis) {
        if self.consecutive_stalls > 0 && self.demoted_until <= now {
            self.probe_sent_at = Some(now);
        }
    }

    /// Records an attempt that ended without an answer. Further stalls during a demotion extend it,
    /// but don't double its duration.
    pub(super) fn record_stall(&mut self, now: Millis, options: &RouterOptions) {
        let Some(duration) = options.initial_demotion else {
            return;
        };
        if self.demoted_until <= now {
            self.consecutive_stalls += 1;
        }
        self.probe_sent_at = None;
        let factor = 1_u64 << (self.consecutive_stalls - 1).min(32);
        let duration = duration
            .0
            .saturating_mul(factor)
            .min(options.max_demotion.0);
        self.demoted_until = self.demoted_until.max(now + Millis(duration));
    }
}
