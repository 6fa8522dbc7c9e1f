//! Cost of admitting a request at a side, at four sizes each of its adapters, queue and callers.
//!
//! Prints JSON lines: the time to submit a request, poll and cancel it, with a full batch and the
//! given number of requests waiting. Fails if that takes 5 microseconds or more at the largest
//! number of adapters, or if the time grows as fast as the number of adapters.

use std::hint::black_box;
use std::process::ExitCode;
use std::time::Instant;

use pumicecleat_policy::{
    CallerIx, Job, JobId, LoraIx, ObjectiveWeights, Scheduler, SchedulerOptions,
};
use pumicecleat_types::Millis;
use serde_json::json;

/// Numbers of adapters, with 64 requests waiting and 16 callers.
const LORAS: [u32; 4] = [3_000, 6_000, 12_000, 24_000];

/// Numbers of waiting requests, with 24,000 adapters and 16 callers.
const DEPTHS: [u64; 4] = [16, 64, 256, 1_024];

/// Numbers of callers, with 24,000 adapters and 256 requests waiting.
const CALLERS: [u32; 4] = [4, 16, 64, 256];

/// Limit of the time of an admission, in nanoseconds.
const LIMIT_NS: f64 = 5_000.0;

/// Samples measured, after as many for warm-up.
const SAMPLES: usize = 51;

/// Admissions in a sample.
const SAMPLE_SIZE: u32 = 1_000;

/// Size of the engine's batch.
const ENGINE_BATCH: u32 = 8;
const FAR_DEADLINE: Millis = Millis(1 << 40);

#[derive(Clone, Copy)]
struct Sizes {
    loras: u32,
    depth: u64,
    callers: u32,
}

fn main() -> ExitCode {
    let (depth, callers) = (64, 16);
    let by_loras = LORAS.map(|loras| {
        measure(Sizes {
            loras,
            depth,
            callers,
        })
    });
    for depth in DEPTHS {
        measure(Sizes {
            loras: LORAS[3],
            depth,
            callers,
        });
    }
    for callers in CALLERS {
        measure(Sizes {
            loras: LORAS[3],
            depth: 256,
            callers,
        });
    }
    let growth = by_loras[3] / by_loras[0];
    let count = f64::from(LORAS[3]) / f64::from(LORAS[0]);
    let (fast, slower) = (by_loras[3] < LIMIT_NS, growth < count);
    let line = json!({"bench": "growth by adapters", "count_times": count, "cost_times": growth,
        "under_5_us": fast, "slower": slower});
    println!("{line}");
    if fast && slower {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Median time of an admission, in nanoseconds.
fn measure(sizes: Sizes) -> f64 {
    let mut scheduler = full_scheduler(sizes);
    let mut times: Vec<f64> = (0..2 * SAMPLES)
        .map(|_| sample(&mut scheduler, sizes))
        .collect();
    times.drain(..SAMPLES);
    times.sort_by(f64::total_cmp);
    let (median, p95) = (times[SAMPLES / 2], times[SAMPLES * 95 / 100]);
    let line = json!({"bench": "submit, poll, cancel", "adapters": sizes.loras,
        "waiting": sizes.depth, "callers": sizes.callers, "median_ns": median.round(),
        "p95_ns": p95.round()});
    println!("{line}");
    median
}

fn sample(scheduler: &mut Scheduler, sizes: Sizes) -> f64 {
    let start = Instant::now();
    for n in 0..SAMPLE_SIZE {
        let id = u64::from(n) + sizes.depth + u64::from(ENGINE_BATCH);
        let lora = LoraIx(n.wrapping_mul(7_919) % sizes.loras);
        let job = job(id, Some(lora), n % sizes.callers);
        let _ = black_box(scheduler.submit(job, Millis(1)));
        black_box(scheduler.poll(Millis(1)));
        scheduler.cancel(JobId(id));
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(SAMPLE_SIZE)
}

/// Scheduler with a full batch and the given number of requests waiting, over many adapters and
/// callers.
fn full_scheduler(sizes: Sizes) -> Scheduler {
    let mut scheduler = Scheduler::new_ext(SchedulerOptions {
        max_batch: ENGINE_BATCH,
        max_queue: u32::MAX,
        weights: ObjectiveWeights {
            stall: 100,
            batch: 0,
        },
        ..SchedulerOptions::default()
    });
    for n in 0..sizes.depth + u64::from(ENGINE_BATCH) {
        let index = u32::try_from(n).unwrap_or(u32::MAX);
        let lora = (index >= ENGINE_BATCH).then_some(LoraIx(index % sizes.loras));
        let job = job(n, lora, index % sizes.callers);
        scheduler
            .submit(job, Millis(0))
            .expect("deadline is far off");
        scheduler.poll(Millis(0));
    }
    scheduler
}

fn job(id: u64, lora: Option<LoraIx>, caller: u32) -> Job {
    Job {
        id: JobId(id),
        lora,
        caller: CallerIx(caller),
        claim: 1,
        priority: 0,
        deadline: FAR_DEADLINE,
        arrived: Millis(0),
        tokens: 100,
    }
}
