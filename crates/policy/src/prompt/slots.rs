//! Choice among the upstreams of a service without adapters, each of which has a few request slots.

use pumicecleat_types::Millis;

/// Time for which an upstream is avoided after a failure. Longer than a response, shorter than a caller
/// waits; each further failure doubles it.
const FAILURE_BACKOFF: Millis = Millis(1_000);

/// Upper bound of that time: an upstream that always fails is still tried every few seconds.
const MAX_FAILURE_BACKOFF: Millis = Millis(8_000);

/// Weight of the newest response in the mean response time.
const NEWEST_WEIGHT: f64 = 0.2;

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLoad {
    /// Requests of this gateway in progress there.
    pub own_requests: u32,
    /// Requests of all callers there as the upstream reported them, and the age of that report.
    pub reported: Option<(u32, Millis)>,
    /// Number of request slots.
    pub slots: u32,
    /// The upstream is in another data centre.
    pub remote: bool,
}

/// Response times and recent failures of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamStats {
    /// Mean response time, ms; 0 before the first response.
    mean_response_ms: f64,
    failures: u32,
    avoided_until: Millis,
}

impl UpstreamStats {
    /// Records a response that took `duration`.
    pub fn record_response(&mut self, duration: Millis) {
        let sample = duration.as_secs() * 1_000.0;
        if self.mean_response_ms == 0.0 {
            self.mean_response_ms = sample;
        }
        self.mean_response_ms += NEWEST_WEIGHT * (sample - self.mean_response_ms);
        self.failures = 0;
        self.avoided_until = Millis(0);
    }

    /// Records that no usable response was received.
    pub fn record_failure(&mut self, now: Millis) {
        let backoff = FAILURE_BACKOFF.0 << self.failures.min(3);
        self.failures += 1;
        self.avoided_until = now + Millis(backoff.min(MAX_FAILURE_BACKOFF.0));
    }

    /// Whether the upstream is avoided because of a recent failure.
    #[must_use]
    pub fn has_recent_failure(&self, now: Millis) -> bool {
        self.avoided_until > now
    }

    /// Mean response time, ms.
    #[must_use]
    pub fn mean_response_ms(&self) -> f64 {
        self.mean_response_ms
    }

    /// Expected response time, ms, including the cost of a recent failure; lower is better.
    #[must_use]
    pub fn cost(&self, load: &UpstreamLoad, now: Millis) -> f64 {
        let requests = match load.reported {
            // The report does not include requests that this gateway has sent since.
            Some((busy, age)) if age.0 < MAX_REPORT_AGE_MS => busy.max(load.own_requests),
            _ => load.own_requests,
        };
        let slots = f64::from(load.slots.max(1));
        let mean = if self.mean_response_ms > 0.0 {
            self.mean_response_ms
        } else {
            DEFAULT_RESPONSE_MS
        };
        let excess = (f64::from(requests) + 1.0 - slots).max(0.0);
        let mut cost = mean * (1.0 + excess / slots) + f64::from(requests) * REQUEST_COST_MS;
        if load.remote {
            cost += REMOTE_COST_MS;
        }
        if self.has_recent_failure(now) {
            cost += FAILURE_COST_MS;
        }
        cost
    }
}

/// Age up to which the load reported by an upstream is used, ms: the time of a few responses.
const MAX_REPORT_AGE_MS: u64 = 300;

/// Mean response time before the first response, ms.
const DEFAULT_RESPONSE_MS: f64 = 50.0;

/// Cost of each request in progress, ms: spreads requests over free slots.
const REQUEST_COST_MS: f64 = 4.0;

/// Cost of an upstream in another data centre, ms: a round trip of two times 1.4 ms.
const REMOTE_COST_MS: f64 = 3.0;

/// Cost of a recent failure, ms: ranks the upstream after all that work.
const FAILURE_COST_MS: f64 = 10_000.0;
