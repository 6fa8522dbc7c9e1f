//! Metrics of an entry.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;
use pumicecleat_ops::{Counter, Family, Gauge, Histogram, Metrics};
use pumicecleat_types::Millis;
use pumicecleat_upstream::Usage;

/// Buckets of latencies, seconds.
const LATENCY: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.51, 0.75, 1.0, 2.0, 5.0, 15.0, 60.0,
];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Answered whole.
    Whole,
    /// Answered by an error.
    Fault,
    /// Stream ended visibly broken.
    Broken,
    /// Caller went away.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabel {
    outcome: &'static str,
    code: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Handles of the metrics.
pub(crate) struct Meters {
    requests: Family<EndLabel, Counter>,
    attempts: Counter,
    retries: Family<ReasonLabel, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    resumes: Counter,
    mismatches: Counter,
    first: Histogram,
    total: Histogram,
    streams: Gauge,
    sides: Gauge,
    reports: Counter,
    revision: Gauge,
    prompt: Counter,
    cached: Counter,
}

impl fmt::Debug for Meters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meters").finish_non_exhaustive()
    }
}

impl Meters {
    /// Meters registered in `metrics`.
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
            first: metrics.histogram(
                "entry_first_seconds",
                "Time from a request's head to the first bytes of its answer",
                &LATENCY,
            ),
            total: metrics.histogram(
                "entry_total_seconds",
                "Time from a request's head to its end",
                &LATENCY,
            ),
            streams: metrics.gauge("entry_streams", "Streams open"),
            sides: metrics.gauge("entry_sides", "Sides known"),
            reports: metrics.counter("entry_reports", "Reports of sides taken in"),
            revision: metrics.gauge("entry_revision", "Revision of the configuration in force"),
            prompt: metrics.counter(
                "entry_prompt_tokens",
                "Prompt tokens, of whole answers that tell",
            ),
            cached: metrics.counter(
                "entry_prompt_cached_tokens",
                "Those of them that engines had cached",
            ),
        }
    }

    pub(crate) fn ended(&self, end: End, code: &'static str, took: Millis) {
        let outcome = match end {
            End::Whole => "whole",
            End::Fault => "fault",
            End::Broken => "broken",
            End::Gone => "gone",
        };
        self.requests
            .get_or_create(&EndLabel { outcome, code })
            .inc();
        self.total.observe(took.as_secs());
    }

    pub(crate) fn attempt(&self) {
        self.attempts.inc();
    }

    pub(crate) fn retried(&self, reason: &'static str) {
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn refused(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn resumed(&self) {
        self.resumes.inc();
    }

    pub(crate) fn mismatch(&self) {
        self.mismatches.inc();
    }

    pub(crate) fn first(&self, took: Millis) {
        self.first.observe(took.as_secs());
    }

    pub(crate) fn stream_opened(&self) {
        self.streams.inc();
    }

    pub(crate) fn stream_closed(&self) {
        self.streams.dec();
    }

    pub(crate) fn report(&self, sides: usize) {
        self.reports.inc();
        self.sides(sides);
    }

    pub(crate) fn sides(&self, sides: usize) {
        self.sides.set(i64::try_from(sides).unwrap_or(i64::MAX));
    }

    pub(crate) fn prompt(&self, usage: &Usage) {
        self.prompt.inc_by(usage.prompt);
        // No engine can have found more than there was.
        let cached = usage.details.cached.unwrap_or(0).min(usage.prompt);
        self.cached.inc_by(cached);
    }

    pub(crate) fn revision(&self, revision: u64) {
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }
}
