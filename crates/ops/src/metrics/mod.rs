//! Metrics in the `OpenMetrics` text format, with `prometheus-client`.
//!
//! A component creates its counters, gauges and histograms once from the shared [`Metrics`] and keeps
//! the handles. Encoding the metrics does not reset them.

mod callers;
mod process;

use std::cell::RefCell;
use std::fmt::{self, Debug};
use std::hash::Hash;
use std::rc::Rc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::MetricConstructor;
use prometheus_client::registry::{Metric, Registry};

pub use prometheus_client::metrics::counter::Counter;
pub use prometheus_client::metrics::family::Family;
pub use prometheus_client::metrics::gauge::Gauge;
pub use prometheus_client::metrics::histogram::Histogram;

use callers::CallerMetrics;
use process::ProcessMetrics;
use pumicecleat_net::MemoryBudget;

/// Prefix of all metric names.
const PREFIX: &str = "pumicecleat";

/// Labels of a metric family, as derived with `EncodeLabelSet` of `prometheus_client`.
pub trait LabelSet: EncodeLabelSet + Clone + Hash + Eq + Debug + Send + Sync + 'static {}

impl<T: EncodeLabelSet + Clone + Hash + Eq + Debug + Send + Sync + 'static> LabelSet for T {}

/// Family of histograms with labels.
pub type Histograms<L> = Family<L, Histogram, Buckets>;

/// Upper bounds of the buckets in a family of histograms.
#[derive(Clone, Copy, Debug)]
pub struct Buckets(&'static [f64]);

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(self.0.iter().copied())
    }
}

/// Registry of the metrics of a process.
#[derive(Clone)]
pub struct Metrics {
    registry: Rc<RefCell<Registry>>,
}

impl Metrics {
    /// Creates a registry with the metrics of the process itself: memory, CPU time, file descriptors
    /// and uptime.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        registry.register_collector(Box::new(ProcessMetrics::start()));
        Self {
            registry: Rc::new(RefCell::new(registry)),
        }
    }

    /// Adds the metrics of what is held for callers.
    pub fn watch_budget(&self, budget: &MemoryBudget) {
        let collector = Box::new(CallerMetrics::new(budget.reading()));
        self.registry.borrow_mut().register_collector(collector);
    }

    /// Registers a counter without labels. Its name gets the suffix `_total` when encoded.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        self.register(name, help, Counter::default())
    }

    /// Registers a gauge without labels.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.register(name, help, Gauge::default())
    }

    /// Registers a histogram without labels; `buckets` are upper bounds.
    #[must_use]
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Histogram {
        let histogram = Histogram::new(buckets.iter().copied());
        self.register(name, help, histogram)
    }

    /// Registers a family of counters. Its name gets the suffix `_total` when encoded.
    #[must_use]
    pub fn counters<L: LabelSet>(&self, name: &str, help: &str) -> Family<L, Counter> {
        self.register(name, help, Family::default())
    }

    /// Registers a family of gauges.
    #[must_use]
    pub fn gauges<L: LabelSet>(&self, name: &str, help: &str) -> Family<L, Gauge> {
        self.register(name, help, Family::default())
    }

    /// Registers a family of histograms; `buckets` are upper bounds.
    #[must_use]
    pub fn histograms<L: LabelSet>(
        &self,
        name: &str,
        help: &str,
        buckets: &'static [f64],
    ) -> Histograms<L> {
        let family = Family::new_with_constructor(Buckets(buckets));
        self.register(name, help, family)
    }

    /// Encodes all metrics as `OpenMetrics` text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry.borrow());
        text
    }

    fn register<M: Metric + Clone>(&self, name: &str, help: &str, metric: M) -> M {
        self.registry
            .borrow_mut()
            .register(name, help, metric.clone());
        metric
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
