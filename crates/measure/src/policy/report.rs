//! Lines printed: the measures of one policy on one trace.

use pumicecleat_types::Millis;
use serde::Serialize;

use super::PolicyArgs;
use super::replay::Tally;
use super::shape::Shape;
use super::shares::{self, ShareError};
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
    /// Quantiles of the time from reaching a side to the engine, stall included, seconds.
    pub(super) wait_p50: f64,
    pub(super) wait_p95: f64,
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
    /// Mean stall in the second minute after the middle, seconds: with the shift, and without.
    pub(super) settled_s: f64,
    pub(super) steady_s: f64,
    /// Part of the tokens in time that callers under their claim lose to a flood.
    pub(super) share: Option<ShareError>,
    /// Measures of prompts, where they are modelled.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) prefix: Option<PrefixLine>,
}

/// Measures of prompts.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct PrefixLine {
    /// What is known of caches.
    pub(super) mode: &'static str,
    /// Time that engines read prompts, seconds.
    pub(super) prefill_s: f64,
    /// Part of the prompts' tokens found cached.
    pub(super) cached: f64,
    /// Quantiles of the time to the first token, seconds.
    pub(super) first_p50: f64,
    pub(super) first_p95: f64,
}

impl PrefixLine {
    fn new(shape: &Shape, tally: &Tally) -> Option<Self> {
        let mode = shape.prefix?.name();
        let firsts = sorted(&tally.firsts);
        Some(Self {
            mode,
            prefill_s: tally.prefill.as_secs(),
            cached: ratio(tally.cached, tally.prompted),
            first_p50: quantile(&firsts, 50),
            first_p95: quantile(&firsts, 95),
        })
    }
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
        let stalls = sorted(&tally.stalls);
        let waits = sorted(&tally.waits);
        let met = tally.met.iter().filter(|m| **m).count();
        let settled = second_minute(trace, tally);
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
            wait_p50: quantile(&waits, 50),
            wait_p95: quantile(&waits, 95),
            fill: ratio(tally.useful, tally.steps * u64::from(shape.batch)),
            met: ratio(met as u64, trace.asks.len() as u64),
            missed: (trace.asks.len() - met) as u64,
            refused: tally.refused,
            returned: tally.returned,
            kept: tally.kept,
            loads: tally.loads,
            evictions: tally.evictions,
            settled_s: settled,
            steady_s: settled,
            share: None,
            prefix: PrefixLine::new(shape, tally),
        }
    }

    /// Takes in the run of the same trace without its flood or shift.
    pub(super) fn compare(
        &mut self,
        shape: &Shape,
        disturbed: (&Trace, &Tally),
        calm: (&Trace, &Tally),
    ) {
        self.steady_s = second_minute(calm.0, calm.1);
        if disturbed.0.load.flood {
            self.share = Some(shares::error(shape, disturbed, calm));
        }
    }

    /// The line as JSON.
    pub(super) fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

fn sorted(spans: &[Millis]) -> Vec<Millis> {
    let mut sorted = spans.to_vec();
    sorted.sort_unstable();
    sorted
}

fn quantile(sorted: &[Millis], percent: usize) -> f64 {
    let at = sorted.len() * percent / 100;
    sorted.get(at).map_or(0.0, |s| s.as_secs())
}

/// Mean stall in the second minute after the middle, when a shift is to be over.
fn second_minute(trace: &Trace, tally: &Tally) -> f64 {
    let begin = trace.middle + SETTLE;
    mean_stall(trace, tally, (begin, begin + SETTLE))
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
