//! Time of decisions and reports at four counts of upstreams and of adapters.

use std::hint::black_box;

use pumicecleat_policy::{
    AttemptOutcome, LoraIx, PromptAffinity, RouteDecision, RouteQuery, Router, RouterOptions,
    UpstreamIx,
};
use pumicecleat_types::Millis;
use serde_json::json;

use crate::clock::{Timing, measure};
use crate::fleet::{FleetSize, POOL, Popularity, figures, resident, rng, router};

/// Counts of upstreams, each measured with the most adapters.
const UPSTREAMS: [u32; 4] = [975, 1_950, 3_900, 7_800];

/// Counts of adapters, each measured with the most upstreams.
const LORAS: [u32; 4] = [3_000, 6_000, 12_000, 24_000];

/// Decisions must take less than this, nanoseconds.
const MAX_CHOICE_NS: f64 = 5_000.0;

/// Queries in a trace.
const TRACE_LEN: u32 = 1_000;

/// Runs all measurements; returns whether the bounds hold.
pub fn run() -> bool {
    let by_upstreams = UPSTREAMS.map(|upstreams| {
        let loras = LORAS[3];
        measure_size(FleetSize { upstreams, loras })
    });
    let by_loras = LORAS.map(|loras| {
        let upstreams = UPSTREAMS[3];
        measure_size(FleetSize { upstreams, loras })
    });
    let within_limit = by_upstreams
        .iter()
        .chain(&by_loras)
        .all(|&ns| ns < MAX_CHOICE_NS);
    let growth = [by_upstreams[3] / by_upstreams[0], by_loras[3] / by_loras[0]];
    let count = f64::from(UPSTREAMS[3]) / f64::from(UPSTREAMS[0]);
    let sublinear = growth.iter().all(|&g| g < count);
    println!(
        "{}",
        json!({"bench": "growth", "count_times": count, "cost_times_by_upstreams": growth[0],
            "cost_times_by_adapters": growth[1], "under_5_us": within_limit, "slower": sublinear})
    );
    within_limit && sublinear
}

/// Measures one fleet size; returns the slowest median of the decisions, nanoseconds.
fn measure_size(size: FleetSize) -> f64 {
    let mut router = router(size, RouterOptions::default());
    let by_popularity = popularity_trace(size);
    let uniform: Vec<LoraIx> = (0..TRACE_LEN)
        .map(|n| LoraIx(n * (size.loras / TRACE_LEN)))
        .collect();
    let choices = [
        ("choose, by popularity", choose(&mut router, &by_popularity)),
        ("choose, any adapter", choose(&mut router, &uniform)),
        ("choose, sent, ended", attempt(&mut router, &by_popularity)),
        ("choose, plain service", choose_without_adapter(&mut router)),
    ];
    let reports = [
        ("report, resident unchanged", report(&mut router, size)),
        (
            "report, resident changed",
            report_resident(&mut router, size),
        ),
    ];
    for (what, t) in choices.iter().chain(&reports) {
        println!(
            "{}",
            json!({"bench": what, "upstreams": size.upstreams, "adapters": size.loras,
                "median_ns": t.median.round(), "p95_ns": t.p95.round()})
        );
    }
    choices.iter().map(|(_, t)| t.median).fold(0.0, f64::max)
}

fn popularity_trace(size: FleetSize) -> Vec<LoraIx> {
    let popularity = Popularity::new(size.loras);
    let mut rng = rng(2);
    (0..TRACE_LEN).map(|_| popularity.draw(&mut rng)).collect()
}

fn query(lora: Option<LoraIx>) -> RouteQuery<'static> {
    RouteQuery {
        pool: POOL,
        lora,
        prompt: lora.map(|l| PromptAffinity {
            conversation_hash: u64::from(l.0),
            earlier_tokens: 800,
        }),
        time_left: Millis(30_000),
        tried: &[UpstreamIx(0)],
    }
}

fn choose(router: &mut Router, trace: &[LoraIx]) -> Timing {
    measure(|n| {
        let query = query(Some(trace[n as usize]));
        black_box(router.choose(&query, Millis(1)));
    })
}

fn choose_without_adapter(router: &mut Router) -> Timing {
    measure(|_| {
        black_box(router.choose(&query(None), Millis(1)));
    })
}

fn attempt(router: &mut Router, trace: &[LoraIx]) -> Timing {
    measure(|n| {
        let lora = Some(trace[n as usize]);
        if let RouteDecision::Send(selected) = router.choose(&query(lora), Millis(1)) {
            router.record_send(selected.up, lora, Millis(1));
            router.record_outcome(selected.up, lora, AttemptOutcome::Completed, Millis(1));
        }
    })
}

fn report(router: &mut Router, size: FleetSize) -> Timing {
    let mut rng = rng(3);
    let figures = figures(&mut rng);
    measure(|n| {
        let up = UpstreamIx(n * 7 % size.upstreams);
        router.report(up, POOL, &figures, None, None, Millis(1));
    })
}

fn report_resident(router: &mut Router, size: FleetSize) -> Timing {
    let mut rng = rng(4);
    let popularity = Popularity::new(size.loras);
    let sets: Vec<Vec<LoraIx>> = (0..TRACE_LEN)
        .map(|_| resident(&popularity, &mut rng))
        .collect();
    let figures = figures(&mut rng);
    let mut next = 0;
    measure(|n| {
        next += 1;
        let up = UpstreamIx(n * 7 % size.upstreams);
        let set = &sets[next % (sets.len() - 1)];
        router.report(up, POOL, &figures, Some(set), None, Millis(1));
    })
}
