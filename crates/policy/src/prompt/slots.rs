//! Choice among the upstreams of a plain service, which have a few slots each.

use pumicecleat_types::Millis;

/// Time that a recent failure puts an upstream behind its peers. Longer than an answer, shorter
/// than a caller's patience; a failure after it doubles it.
const FAILURE_SPAN: Millis = Millis(1_000);

/// Longest such time: an upstream that fails each time is still tried every few seconds.
const FAILURE_MOST: Millis = Millis(8_000);

/// Weight of the newest answer in the mean time of answers.
const NEW: f64 = 0.2;

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLoad {
    /// Own requests under way there.
    pub own_requests: u32,
    /// Requests there by its own word, of all callers, and how old that is.
    pub reported: Option<(u32, Millis)>,
    /// Slots.
    pub slots: u32,
    /// In another data centre.
    pub remote: bool,
}

/// Memory of one upstream's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamStats {
    /// Mean time of an answer, ms; 0 before the first.
    mean: f64,
    failures: u32,
    behind: Millis,
}

impl UpstreamStats {
    /// An answer came after `took`.
    pub fn record_response(&mut self, took: Millis) {
        let sample = took.as_secs() * 1_000.0;
        if self.mean == 0.0 {
            self.mean = sample;
        }
        self.mean += NEW * (sample - self.mean);
        self.failures = 0;
        self.behind = Millis(0);
    }

    /// No usable answer came.
    pub fn record_failure(&mut self, now: Millis) {
        let span = FAILURE_SPAN.0 << self.failures.min(3);
        self.failures += 1;
        self.behind = now + Millis(span.min(FAILURE_MOST.0));
    }

    /// Whether a recent failure puts it behind its peers.
    #[must_use]
    pub fn has_recent_failure(&self, now: Millis) -> bool {
        self.behind > now
    }

    /// Mean time of an answer, ms.
    #[must_use]
    pub fn mean_response_ms(&self) -> f64 {
        self.mean
    }

    /// Expected time of an answer, ms, with what a failure adds: lower is better.
    #[must_use]
    pub fn cost(&self, view: &UpstreamLoad, now: Millis) -> f64 {
        let told = match view.reported {
            // Own requests since then are not in it.
            Some((busy, age)) if age.0 < TOLD_SPAN => busy.max(view.own_requests),
            _ => view.own_requests,
        };
        let slots = f64::from(view.slots.max(1));
        let mean = if self.mean > 0.0 {
            self.mean
        } else {
            FIRST_MEAN
        };
        let over = (f64::from(told) + 1.0 - slots).max(0.0);
        let mut cost = mean * (1.0 + over / slots) + f64::from(told) * CROWD;
        if view.remote {
            cost += REMOTE;
        }
        if self.has_recent_failure(now) {
            cost += BEHIND;
        }
        cost
    }
}

/// Age up to which an upstream's own figures are believed, ms: a few answers' time.
const TOLD_SPAN: u64 = 300;

/// Mean time of an answer before the first one, ms.
const FIRST_MEAN: f64 = 50.0;

/// Cost of each request under way, ms: spreads requests over free slots.
const CROWD: f64 = 4.0;

/// Cost of another data centre, ms: two ways of 1.4 ms.
const REMOTE: f64 = 3.0;

/// Cost of a recent failure, ms: behind all that work.
const BEHIND: f64 = 10_000.0;
