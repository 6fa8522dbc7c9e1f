//! Lines printed: the measures of one policy on one trace.

use pumicecleat_types::Millis;
use serde::Serialize;

use super::PolicyArgs;
use super::replay::Tally;
use super::shape::Shape;
use super::shares::ShareError;
use super::trace::Trace;

/// Span after a shift within which stalls are to be back.
const SETTLE: Millis = Millis(60_000);

/// Measures of one run.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Line {
    pub(super) preset: &'static str,
    pub(super) policy: &'static str,
    pub(super) fault: &'static str,
    pub(super) seed: u64,
    pub(super) zipf: f64,
    pub(super) asks: usize,
    /// Sum of load stalls, seconds.
    pub(super) stall_s: f64,
    /// Quantiles of the stalls of all requests, seconds.
    pub(super) stall_p50: f64,
    pub(super) stall_p95: f64,
    pub(super) stall_p99: f64,
    /// Useful tokens of a step over the batch limit.
    pub(super) fill: f64,
    /// Part of requests answered whole by their first deadline.
    pub(super) met: f64,
    pub(super) missed: u64,
    pub(super) refused: u64,
    /// Refused callers that came back, and those of them answered in time.
    pub(super) returned: u64,
    pub(super) kept: u64,
    pub(super) loads: u64,
    pub(super) evictions: u64,
    /// Stall of a request before the middle, and from a minute after it on, seconds.
    pub(super) before: f64,
    pub(super) after: f64,
    #[serde(skip)]
    pub(super) share: Option<ShareError>,
    pub(super) share_worst: Option<f64>,
    pub(super) share_all: Option<f64>,
}

impl Line {
    pub(super) fn new(
        shape: &Shape,
        trace: &Trace,
        policy: &'static str,
        args: &PolicyArgs,
        seed: u64,
        tally: &Tally,
    ) -> Self {
        let mut stalls = tally.stalls.clone();
        stalls.sort_unstable();
        let met = tally.met.iter().filter(|m| **m).count();
        let steady = (Millis(trace.end.0 / 6), trace.middle);
        let settled = (trace.middle + SETTLE, trace.end);
        Self {
            preset: shape.name,
            policy,
            fault: args.fault.name(),
            seed,
            zipf: trace.load.zipf,
            asks: trace.asks.len(),
            stall_s: stalls.iter().map(|s| s.as_secs()).sum(),
            stall_p50: quantile(&stalls, 50),
            stall_p95: quantile(&stalls, 95),
            stall_p99: quantile(&stalls, 99),
            fill: ratio(tally.useful, tally.steps * u64::from(shape.batch)),
            met: ratio(met as u64, trace.asks.len() as u64),
            missed: (trace.asks.len() - met) as u64,
            refused: tally.refused,
            returned: tally.returned,
            kept: tally.kept,
            loads: tally.loads,
            evictions: tally.evictions,
            before: mean_stall(trace, tally, steady),
            after: mean_stall(trace, tally, settled),
            share: None,
            share_worst: None,
            share_all: None,
        }
    }

    /// The line as JSON.
    pub(super) fn json(&self) -> String {
        let mut line = self.clone();
        line.share_worst = self.share.map(|s| s.worst);
        line.share_all = self.share.map(|s| s.all);
        serde_json::to_string(&line).unwrap_or_default()
    }
}

fn quantile(sorted: &[Millis], percent: usize) -> f64 {
    let at = sorted.len() * percent / 100;
    sorted.get(at).map_or(0.0, |s| s.as_secs())
}

/// Mean stall of the requests that came in a span, seconds.
fn mean_stall(trace: &Trace, tally: &Tally, (begin, end): (Millis, Millis)) -> f64 {
    let asks = trace.asks.iter().zip(&tally.stalls);
    let inside = asks.filter(|(a, _)| a.at >= begin && a.at < end);
    let (mut sum, mut count) = (Millis(0), 0);
    for (_, stall) in inside {
        sum = sum + *stall;
        count += 1;
    }
    ratio(sum.0, count) / 1_000.0
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
