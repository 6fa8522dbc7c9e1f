//! Metrics of the agent.

use prometheus_client::encoding::EncodeLabelSet;
use pumicecleat_ops::{Counter, Family, Gauge, Histogram, Metrics};

/// Upper bounds of the wait for a turn, in seconds.
const TURN_WAIT_BUCKETS: &[f64] = &[0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0];

/// Upper bounds of the ratio of the actual to the expected time to the first event.
const FIRST_EVENT_RATIO_BUCKETS: &[f64] = &[0.25, 0.5, 0.8, 1.0, 1.25, 1.6, 2.0, 4.0, 8.0];

/// Kind and outcome of an order. The field names are the label names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OrderLabels {
    pub(crate) order: &'static str,
    pub(crate) end: &'static str,
}

/// Outcome of a request for a turn. The field name is the label name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TurnLabels {
    pub(crate) outcome: &'static str,
}

/// Account and outcome of a request for a turn. The field names are the label names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AccountLabels {
    pub(crate) account: String,
    pub(crate) outcome: &'static str,
}

/// Metrics of the agent.
pub(crate) struct Meters {
    pub(crate) turns: Family<TurnLabels, Counter>,
    pub(crate) account_turns: Family<AccountLabels, Counter>,
    pub(crate) orders: Family<OrderLabels, Counter>,
    pub(crate) turn_wait: Histogram,
    pub(crate) unread_tokens: Gauge,
    pub(crate) first_event_ratios: Histogram,
    pub(crate) paused_streams: Counter,
    /// Window of loads from the weight store, in thousandths.
    pub(crate) load_window: Gauge,
}

impl Meters {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            turns: metrics.counters("turns", "Asks for a turn, by outcome"),
            account_turns: metrics.counters(
                "account_turns",
                "Asks for a turn that name an account, by account and outcome",
            ),
            orders: metrics.counters("orders", "Orders to the engine, by kind and end"),
            turn_wait: metrics.histogram("turn_wait_seconds", "Wait for a turn", TURN_WAIT_BUCKETS),
            unread_tokens: metrics.gauge("unread_tokens", "Prompt tokens that wait to be read"),
            paused_streams: metrics.counter(
                "paused_streams",
                "Streams with a pause longer than their route declares",
            ),
            load_window: metrics.gauge(
                "load_window_thousandths",
                "Loads from the weight store allowed at a time, in thousandths",
            ),
            first_event_ratios: metrics.histogram(
                "first_event_ratio",
                "Time to a first event, in parts of what was expected at its turn",
                FIRST_EVENT_RATIO_BUCKETS,
            ),
        }
    }
}
