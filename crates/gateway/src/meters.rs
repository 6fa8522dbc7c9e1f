//! Metrics of the gateway.

use prometheus_client::encoding::EncodeLabelSet;
use pumicecleat_ops::{Counter, Family, Gauge, Histogram, Histograms, Metrics};

/// Upper bounds of the times to the first and to the last byte of answers, s.
const TIME_BUCKETS: &[f64] = &[
    0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.0, 1.5, 2.5, 5.0, 15.0,
];

/// Service and outcome of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) service: String,
    pub(crate) outcome: &'static str,
}

/// Service of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub(crate) service: String,
}

/// What became known of a request under which upstreams ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SuspectLabels {
    pub(crate) what: &'static str,
}

/// Metrics of the gateway.
pub(crate) struct Meters {
    suspects: Family<SuspectLabels, Counter>,
    pub(crate) requests: Family<OutcomeLabels, Counter>,
    pub(crate) repeats: Family<ServiceLabels, Counter>,
    pub(crate) first: Histograms<ServiceLabels>,
    pub(crate) turn: Histogram,
    /// In milliseconds.
    pub(crate) list_age: Gauge,
}

impl Meters {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            suspects: metrics.counters(
                "suspects",
                "Ends of upstreams under requests, and what followed for these",
            ),
            requests: metrics.counters("requests", "Requests, by service and outcome"),
            repeats: metrics.counters("repeats", "Sends beyond the first, by service"),
            first: metrics.histograms(
                "first_byte_seconds",
                "Time to the first byte of an answer",
                TIME_BUCKETS,
            ),
            turn: metrics.histogram("turn_seconds", "Wait for a turn at an engine", TIME_BUCKETS),
            list_age: metrics.gauge(
                "upstream_list_age_milliseconds",
                "Age of the list of upstreams as this process knows it",
            ),
        }
    }

    pub(crate) fn count_suspect(&self, what: &'static str) {
        self.suspects.get_or_create(&SuspectLabels { what }).inc();
    }
}
