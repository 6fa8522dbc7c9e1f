//! Time of choices and reports at four sizes of each count.

use std::hint::black_box;

use pumicecleat_policy::{
    AttemptOutcome, LoraIx, PromptAffinity, RouteDecision, RouteQuery, Router, RouterOptions,
    UpstreamIx,
};
use pumicecleat_types::Millis;
use serde_json::json;

use crate::clock::{Time, time};
use crate::fleet::{POOL, Popularity, Size, figures, resident, rng, router};

/// Upstreams, each at the full count of adapters.
const UPSTREAMS: [u32; 4] = [975, 1_950, 3_900, 7_800];

/// Adapters, each at the full count of upstreams.
const LORAS: [u32; 4] = [3_000, 6_000, 12_000, 24_000];

/// Time of a choice that is too long, nanoseconds.
const LIMIT: f64 = 5_000.0;

/// Length of the traces.
const TRACE: u32 = 1_000;

/// Runs all; whether the bounds hold.
pub fn run() -> bool {
    let by_upstreams = UPSTREAMS.map(|upstreams| {
        let loras = LORAS[3];
        size(Size { upstreams, loras })
    });
    let by_loras = LORAS.map(|loras| {
        let upstreams = UPSTREAMS[3];
        size(Size { upstreams, loras })
    });
    let fast = by_upstreams.iter().chain(&by_loras).all(|&ns| ns < LIMIT);
    let growth = [by_upstreams[3] / by_upstreams[0], by_loras[3] / by_loras[0]];
    let count = f64::from(UPSTREAMS[3]) / f64::from(UPSTREAMS[0]);
    let slow_growth = growth.iter().all(|&g| g < count);
    println!(
        "{}",
        json!({"bench": "growth", "count_times": count, "cost_times_by_upstreams": growth[0],
            "cost_times_by_adapters": growth[1], "under_5_us": fast, "slower": slow_growth})
    );
    fast && slow_growth
}

/// Measures one size; the slowest median of the choices, nanoseconds.
fn size(size: Size) -> f64 {
    let mut router = router(size, RouterOptions::default());
    let warm = warm_trace(size);
    let cold: Vec<LoraIx> = (0..TRACE)
        .map(|n| LoraIx(n * (size.loras / TRACE)))
        .collect();
    let choices = [
        ("choose, by popularity", choose(&mut router, &warm)),
        ("choose, any adapter", choose(&mut router, &cold)),
        ("choose, sent, ended", attempt(&mut router, &warm)),
        ("choose, plain service", plain(&mut router)),
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

fn warm_trace(size: Size) -> Vec<LoraIx> {
    let popularity = Popularity::new(size.loras);
    let mut rng = rng(2);
    (0..TRACE).map(|_| popularity.draw(&mut rng)).collect()
}

fn ask(lora: Option<LoraIx>) -> RouteQuery<'static> {
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

fn choose(router: &mut Router, trace: &[LoraIx]) -> Time {
    time(|n| {
        let ask = ask(Some(trace[n as usize]));
        black_box(router.choose(&ask, Millis(1)));
    })
}

fn plain(router: &mut Router) -> Time {
    time(|_| {
        black_box(router.choose(&ask(None), Millis(1)));
    })
}

fn attempt(router: &mut Router, trace: &[LoraIx]) -> Time {
    time(|n| {
        let lora = Some(trace[n as usize]);
        if let RouteDecision::Send(pick) = router.choose(&ask(lora), Millis(1)) {
            router.record_send(pick.up, lora, Millis(1));
            router.record_outcome(pick.up, lora, AttemptOutcome::Completed, Millis(1));
        }
    })
}

fn report(router: &mut Router, size: Size) -> Time {
    let mut rng = rng(3);
    let figures = figures(&mut rng);
    time(|n| {
        let up = UpstreamIx(n * 7 % size.upstreams);
        router.report(up, POOL, &figures, None, None, Millis(1));
    })
}

fn report_resident(router: &mut Router, size: Size) -> Time {
    let mut rng = rng(4);
    let popularity = Popularity::new(size.loras);
    let sets: Vec<Vec<LoraIx>> = (0..TRACE)
        .map(|_| resident(&popularity, &mut rng))
        .collect();
    let figures = figures(&mut rng);
    let mut next = 0;
    time(|n| {
        next += 1;
        let up = UpstreamIx(n * 7 % size.upstreams);
        let set = &sets[next % (sets.len() - 1)];
        router.report(up, POOL, &figures, Some(set), None, Millis(1));
    })
}
