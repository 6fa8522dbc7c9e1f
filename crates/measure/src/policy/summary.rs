//! Summary over the seeds: each policy's measures, and ours against the others.

use std::collections::BTreeMap;

use serde::Serialize;

use super::report::{Line, PrefixLine};

/// Mean and extremes over the seeds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Spread {
    mean: f64,
    min: f64,
    max: f64,
}

/// Summary of one policy.
#[derive(Debug, Serialize)]
struct PolicySummary {
    summary: &'static str,
    preset: &'static str,
    fault: &'static str,
    seeds: usize,
    stall_s: Spread,
    stall_p99: Spread,
    wait_p50: Spread,
    wait_p95: Spread,
    fill: Spread,
    met: Spread,
    missed: Spread,
    refused: Spread,
    loads: Spread,
    evictions: Spread,
    /// Part of returned callers that were answered in time.
    kept: Spread,
    /// Stall in the second minute after the middle over that without the shift, all seeds together.
    settled: f64,
    share_worst: Spread,
    share_all: Spread,
    /// Measures of prompts, where they are modelled.
    #[serde(skip_serializing_if = "Option::is_none")]
    prefix: Option<PrefixSummary>,
}

/// Summary of the measures of prompts.
#[derive(Debug, Serialize)]
struct PrefixSummary {
    mode: &'static str,
    prefill_s: Spread,
    cached: Spread,
    first_p50: Spread,
    first_p95: Spread,
}

/// Ours over another policy, seed by seed.
#[derive(Debug, Serialize)]
struct Ratios {
    ours_over: &'static str,
    preset: &'static str,
    fault: &'static str,
    stall: Spread,
    fill: Spread,
    missed: Spread,
    loads: Spread,
}

/// Lines of all seeds, by policy.
#[derive(Debug, Default)]
pub(super) struct Summary {
    lines: BTreeMap<&'static str, Vec<Line>>,
}

impl Summary {
    pub(super) fn add(&mut self, line: Line) {
        self.lines.entry(line.policy).or_default().push(line);
    }

    /// Summaries as JSON lines.
    pub(super) fn lines(&self) -> Vec<String> {
        let policies = self.lines.iter().map(|(name, lines)| {
            let summary = summarise(name, lines);
            serde_json::to_string(&summary).unwrap_or_default()
        });
        let ours = self.lines.get("ours").map_or(&[][..], Vec::as_slice);
        let others = self.lines.iter().filter(|(name, _)| **name != "ours");
        let ratios = others.map(|(name, lines)| {
            let ratios = compare(name, ours, lines);
            serde_json::to_string(&ratios).unwrap_or_default()
        });
        policies.chain(ratios).collect()
    }
}

fn summarise(name: &'static str, lines: &[Line]) -> PolicySummary {
    let over = |f: &dyn Fn(&Line) -> f64| spread(lines.iter().map(f));
    let sum = |f: &dyn Fn(&Line) -> f64| lines.iter().map(f).sum::<f64>();
    PolicySummary {
        summary: name,
        preset: lines.first().map_or("", |l| l.preset),
        fault: lines.first().map_or("", |l| l.fault),
        seeds: lines.len(),
        stall_s: over(&|l| l.stall_s),
        stall_p99: over(&|l| l.stall_p99),
        wait_p50: over(&|l| l.wait_p50),
        wait_p95: over(&|l| l.wait_p95),
        fill: over(&|l| l.fill),
        met: over(&|l| l.met),
        missed: over(&|l| count(l.missed)),
        refused: over(&|l| count(l.refused)),
        loads: over(&|l| count(l.loads)),
        evictions: over(&|l| count(l.evictions)),
        kept: over(&|l| quotient(count(l.kept), count(l.returned))),
        settled: quotient(sum(&|l| l.settled_s), sum(&|l| l.steady_s)),
        share_worst: over(&|l| l.share.map_or(0.0, |s| s.worst)),
        share_all: over(&|l| l.share.map_or(0.0, |s| s.all)),
        prefix: summarise_prefix(lines),
    }
}

fn summarise_prefix(lines: &[Line]) -> Option<PrefixSummary> {
    let prefixes: Vec<PrefixLine> = lines.iter().filter_map(|l| l.prefix).collect();
    let over = |f: &dyn Fn(&PrefixLine) -> f64| spread(prefixes.iter().map(f));
    Some(PrefixSummary {
        mode: prefixes.first()?.mode,
        prefill_s: over(&|p| p.prefill_s),
        cached: over(&|p| p.cached),
        first_p50: over(&|p| p.first_p50),
        first_p95: over(&|p| p.first_p95),
    })
}

fn compare(name: &'static str, ours: &[Line], others: &[Line]) -> Ratios {
    let over = |f: &dyn Fn(&Line) -> f64| {
        let pairs = ours.iter().zip(others);
        spread(pairs.map(|(a, b)| quotient(f(a), f(b))))
    };
    Ratios {
        ours_over: name,
        preset: ours.first().map_or("", |l| l.preset),
        fault: ours.first().map_or("", |l| l.fault),
        stall: over(&|l| l.stall_s),
        fill: over(&|l| l.fill),
        missed: over(&|l| count(l.missed)),
        loads: over(&|l| count(l.loads)),
    }
}

fn spread(values: impl Iterator<Item = f64>) -> Spread {
    let values: Vec<f64> = values.collect();
    let mean = values.iter().sum::<f64>() / count(values.len() as u64).max(1.0);
    let least = values.iter().copied().reduce(f64::min);
    let most = values.iter().copied().reduce(f64::max);
    Spread {
        mean: round(mean),
        min: round(least.unwrap_or_default()),
        max: round(most.unwrap_or_default()),
    }
}

/// Three places.
fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Quotient; 1 where both are nothing, and by 1 where only the divisor is.
fn quotient(a: f64, b: f64) -> f64 {
    match (a > 0.0, b > 0.0) {
        (false, false) => 1.0,
        (true, false) => a,
        _ => a / b,
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn count(n: u64) -> f64 {
    n as f64
}
