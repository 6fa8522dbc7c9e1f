//! Metrics.

use pumicecleat_ops::{Counter, Gauge, Histogram, Metrics};

/// Bucket bounds of the histograms, in seconds.
const BUCKETS_S: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0];

/// Handles of the metrics of a side.
#[derive(Clone, Debug)]
pub(crate) struct SideMetrics {
    pub(crate) registry: Metrics,
    pub(crate) runs: Counter,
    pub(crate) completed: Counter,
    pub(crate) refused: Counter,
    pub(crate) broken: Counter,
    pub(crate) cancelled: Counter,
    pub(crate) mismatched: Counter,
    pub(crate) replayed: Counter,
    pub(crate) loads: Counter,
    pub(crate) failed_loads: Counter,
    pub(crate) unloads: Counter,
    pub(crate) load_seconds: Histogram,
    pub(crate) wait_seconds: Histogram,
    pub(crate) revision: Gauge,
}

impl SideMetrics {
    pub(crate) fn new(registry: &Metrics) -> Self {
        let counter = |name, help| registry.counter(name, help);
        let histogram = |name, help| registry.histogram(name, help, &BUCKETS_S);
        Self {
            runs: counter("side_runs", "attempts taken from entries"),
            completed: counter("side_whole", "attempts answered whole"),
            refused: counter("side_refused", "attempts refused, not run"),
            broken: counter("side_broken", "attempts that broke off"),
            cancelled: counter("side_cancelled", "attempts that the entry gave up"),
            mismatched: counter("side_mismatched", "answers of another model than asked for"),
            replayed: counter("side_replayed", "recorded answers given again"),
            loads: counter("side_loads", "adapters loaded"),
            failed_loads: counter("side_failed_loads", "loads that failed"),
            unloads: counter("side_unloads", "adapters unloaded"),
            load_seconds: histogram("side_load_seconds", "time of a load"),
            wait_seconds: histogram("side_wait_seconds", "wait of a request in the queue"),
            revision: registry.gauge("side_revision", "revision in force"),
            registry: registry.clone(),
        }
    }
}
