//! Lines printed.

use serde::Serialize;

use super::load::{Load, Take};
use super::parts::Times;

/// Quantiles, microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Quantiles {
    p50: u64,
    p95: u64,
    p99: u64,
}

impl Quantiles {
    fn of(histogram: &hdrhistogram::Histogram<u64>) -> Self {
        Self {
            p50: histogram.value_at_quantile(0.50),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }

    fn over(self, other: Self) -> Gain {
        Gain {
            p50: signed(self.p50) - signed(other.p50),
            p95: signed(self.p95) - signed(other.p95),
            p99: signed(self.p99) - signed(other.p99),
        }
    }
}

/// Differences of quantiles, microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
struct Gain {
    p50: i64,
    p95: i64,
    p99: i64,
}

/// One way at one size.
#[derive(Debug, Serialize)]
pub(super) struct Line {
    measure: &'static str,
    way: &'static str,
    streams: usize,
    whole: usize,
    failed: usize,
    events: u64,
    seconds: f64,
    events_per_second: f64,
    first_us: Quantiles,
    gap_us: Quantiles,
    /// Processor time of the entry for an event, microseconds.
    entry_event_us: f64,
    side_event_us: f64,
    /// Time for an event that the entry was ready to run and had no core, microseconds: the machine's
    /// part of what is measured.
    entry_wait_us: f64,
    side_wait_us: f64,
    /// Part of one core that the entry took.
    entry_core: f64,
    /// Events a second that one core of the entry would carry.
    entry_events_per_core: f64,
    /// Growth of the entry's process for a stream, bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    entry_memory: Option<u64>,
    /// Growth of the side's process for a stream, bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    side_memory: Option<u64>,
}

/// What entry and side add.
#[derive(Debug, Serialize)]
pub(super) struct Added {
    measure: &'static str,
    way: &'static str,
    streams: usize,
    first_us: Gain,
    gap_us: Gain,
}

#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
impl Line {
    pub(super) fn new(load: &Load, take: &Take, times: &Times) -> Self {
        let events = take.events.max(1) as f64;
        let seconds = take.span.as_secs_f64();
        let entry = times.entry.as_secs_f64();
        let streams = load.streams.max(1) as u64;
        Self {
            measure: "path",
            way: load.way,
            streams: load.streams,
            whole: take.whole,
            failed: take.failed,
            events: take.events,
            seconds,
            events_per_second: events / seconds,
            first_us: Quantiles::of(&take.first),
            gap_us: Quantiles::of(&take.gaps),
            entry_event_us: entry * 1e6 / events,
            side_event_us: times.side.as_secs_f64() * 1e6 / events,
            entry_wait_us: times.entry_wait.as_secs_f64() * 1e6 / events,
            side_wait_us: times.side_wait.as_secs_f64() * 1e6 / events,
            entry_core: entry / seconds,
            entry_events_per_core: events / entry.max(1e-9),
            entry_memory: take.memory.map(|m| m.entry / streams),
            side_memory: take.memory.map(|m| m.side / streams),
        }
    }
}

impl Added {
    pub(super) fn between(direct: &Line, through: &Line) -> Self {
        Self {
            measure: "path",
            way: "added",
            streams: through.streams,
            first_us: through.first_us.over(direct.first_us),
            gap_us: through.gap_us.over(direct.gap_us),
        }
    }
}

fn signed(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
