//! Metrics in `OpenMetrics` text, by `prometheus-client`.
//!
//! A part creates its counters, gauges and histograms once from the shared [`Metrics`] and keeps
//! the handles; reading the text takes nothing from them.

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

use process::ProcessMetrics;

/// Start of every metric's name.
const PREFIX: &str = "pumicecleat";

/// Labels of a family, as derived by `prometheus_client`'s `EncodeLabelSet`.
pub trait LabelSet: EncodeLabelSet + Clone + Hash + Eq + Debug + Send + Sync + 'static {}

impl<T: EncodeLabelSet + Clone + Hash + Eq + Debug + Send + Sync + 'static> LabelSet for T {}

/// Histograms by label.
pub type Histograms<L> = Family<L, Histogram, Buckets>;

/// Upper bounds of the buckets of a family's histograms.
#[derive(Clone, Copy, Debug)]
pub struct Buckets(&'static [f64]);

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(self.0.iter().copied())
    }
}

/// Registry of a process's metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: Rc<RefCell<Registry>>,
}

impl Metrics {
    /// Registry that holds the process's own metrics: memory, processor time, descriptors, uptime.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        registry.register_collector(Box::new(ProcessMetrics::start()));
        Self {
            registry: Rc::new(RefCell::new(registry)),
        }
    }

    /// Counter without labels; the text adds `_total` to its name.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        self.register(name, help, Counter::default())
    }

    /// Gauge without labels.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.register(name, help, Gauge::default())
    }

    /// Histogram without labels; `buckets` are upper bounds.
    #[must_use]
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Histogram {
        let histogram = Histogram::new(buckets.iter().copied());
        self.register(name, help, histogram)
    }

    /// Counters by label; the text adds `_total` to their name.
    #[must_use]
    pub fn counters<L: LabelSet>(&self, name: &str, help: &str) -> Family<L, Counter> {
        self.register(name, help, Family::default())
    }

    /// Gauges by label.
    #[must_use]
    pub fn gauges<L: LabelSet>(&self, name: &str, help: &str) -> Family<L, Gauge> {
        self.register(name, help, Family::default())
    }

    /// Histograms by label; `buckets` are upper bounds.
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

    /// All metrics as `OpenMetrics` text.
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
