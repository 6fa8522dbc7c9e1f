//! Metrics of an entry.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;
use pumicecleat_ops::{Counter, Family, Gauge, Histogram, Metrics};
use pumicecleat_types::Millis;
use pumicecleat_upstream::Usage;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.51, 0.75, 1.0, 2.0, 5.0, 15.0, 60.0,
];

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// Answered completely.
    Completed,
    /// Answered with an error.
    Failed,
    /// The stream was cut off, visibly to the caller.
    Broken,
    /// The caller disconnected.
    CallerGone,
}

/// The field names are the label names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    outcome: &'static str,
    code: &'static str,
}

/// The field name is the label name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// Metrics of an entry.
pub(crate) struct Meters {
    requests: Family<RequestLabels, Counter>,
    attempts: Counter,
    retries: Family<ReasonLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    resumes: Counter,
    mismatches: Counter,
    first_byte_time: Histogram,
    total_time: Histogram,
    streams: Gauge,
    sides: Gauge,
    reports: Counter,
    revision: Gauge,
    prompt_tokens: Counter,
    cached_tokens: Counter,
}

impl fmt::Debug for Meters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meters").finish_non_exhaustive()
    }
}

impl Meters {
    /// Registers the metrics in `metrics`.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            requests: metrics.counters("entry_requests", "Requests by outcome and error code"),
            attempts: metrics.counter("entry_attempts", "Attempts sent to sides"),
            retries: metrics.counters("entry_retries", "Attempts that followed another, by cause"),
            refusals: metrics.counters("entry_refusals", "Refusals of sides, by reason"),
            resumes: metrics.counter("entry_resumes", "Streams that went on at another upstream"),
            mismatches: metrics.counter(
                "entry_mismatches",
                "Answers of another request, adapter or version",
            ),
            first_byte_time: metrics.histogram(
                "entry_first_seconds",
                "Time from a request's head to the first bytes of its answer",
                &LATENCY_BUCKETS,
            ),
            total_time: metrics.histogram(
                "entry_total_seconds",
                "Time from a request's head to its end",
                &LATENCY_BUCKETS,
            ),
            streams: metrics.gauge("entry_streams", "Streams open"),
            sides: metrics.gauge("entry_sides", "Sides known"),
            reports: metrics.counter("entry_reports", "Reports of sides taken in"),
            revision: metrics.gauge("entry_revision", "Revision of the configuration in force"),
            prompt_tokens: metrics.counter(
                "entry_prompt_tokens",
                "Prompt tokens, of whole answers that tell",
            ),
            cached_tokens: metrics.counter(
                "entry_prompt_cached_tokens",
                "Those of them that engines had cached",
            ),
        }
    }

    pub(crate) fn record_end(&self, end: RequestEnd, code: &'static str, took: Millis) {
        let outcome = match end {
            RequestEnd::Completed => "whole",
            RequestEnd::Failed => "fault",
            RequestEnd::Broken => "broken",
            RequestEnd::CallerGone => "gone",
        };
        self.requests
            .get_or_create(&RequestLabels { outcome, code })
            .inc();
        self.total_time.observe(took.as_secs());
    }

    pub(crate) fn count_attempt(&self) {
        self.attempts.inc();
    }

    pub(crate) fn count_retry(&self, reason: &'static str) {
        self.retries.get_or_create(&ReasonLabels { reason }).inc();
    }

    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    pub(crate) fn count_resume(&self) {
        self.resumes.inc();
    }

    pub(crate) fn count_mismatch(&self) {
        self.mismatches.inc();
    }

    pub(crate) fn record_first_byte(&self, took: Millis) {
        self.first_byte_time.observe(took.as_secs());
    }

    pub(crate) fn stream_opened(&self) {
        self.streams.inc();
    }

    pub(crate) fn stream_closed(&self) {
        self.streams.dec();
    }

    pub(crate) fn count_report(&self, sides: usize) {
        self.reports.inc();
        self.set_sides(sides);
    }

    pub(crate) fn set_sides(&self, sides: usize) {
        self.sides.set(i64::try_from(sides).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_tokens(&self, usage: &Usage) {
        self.prompt_tokens.inc_by(usage.prompt);
        // An engine can't have cached more tokens than the prompt has.
        let cached = usage.details.cached.unwrap_or(0).min(usage.prompt);
        self.cached_tokens.inc_by(cached);
    }

    pub(crate) fn set_revision(&self, revision: u64) {
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }
}
