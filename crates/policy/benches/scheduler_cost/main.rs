//! Cost of admitting a request at a side, at four sizes of its adapters, its queue and its callers.
//!
//! Prints JSON lines: the time to submit a request, poll and cancel it, with a queue of the given
//! depth before a full batch. Ends with an error if that takes 5 microseconds or more at the
//! greatest size of adapters, or if the time grows as fast as the adapters do.

use std::hint::black_box;
use std::process::ExitCode;
use std::time::Instant;

use pumicecleat_policy::{
    CallerIx, Job, JobId, LoraIx, ObjectiveWeights, Scheduler, SchedulerOptions,
};
use pumicecleat_types::Millis;
use serde_json::json;

/// Adapters, at a queue of 64 and 16 callers.
const LORAS: [u32; 4] = [3_000, 6_000, 12_000, 24_000];

/// Requests waiting, at 24,000 adapters and 16 callers.
const DEPTHS: [u64; 4] = [16, 64, 256, 1_024];

/// Callers, at 24,000 adapters and a queue of 256.
const CALLERS: [u32; 4] = [4, 16, 64, 256];

/// Time of an admission that is too long, nanoseconds.
const LIMIT: f64 = 5_000.0;

/// Batches measured, after as many to warm up.
const BATCHES: usize = 51;

/// Admissions in a batch.
const BATCH: u32 = 1_000;

const BUSY: u32 = 8;
const FAR: Millis = Millis(1 << 40);

#[derive(Clone, Copy)]
struct Counts {
    loras: u32,
    depth: u64,
    callers: u32,
}

fn main() -> ExitCode {
    let (depth, callers) = (64, 16);
    let by_loras = LORAS.map(|loras| {
        measure(Counts {
            loras,
            depth,
            callers,
        })
    });
    for depth in DEPTHS {
        measure(Counts {
            loras: LORAS[3],
            depth,
            callers,
        });
    }
    for callers in CALLERS {
        measure(Counts {
            loras: LORAS[3],
            depth: 256,
            callers,
        });
    }
    let growth = by_loras[3] / by_loras[0];
    let count = f64::from(LORAS[3]) / f64::from(LORAS[0]);
    let (fast, slower) = (by_loras[3] < LIMIT, growth < count);
    let line = json!({"bench": "growth by adapters", "count_times": count, "cost_times": growth,
        "under_5_us": fast, "slower": slower});
    println!("{line}");
    if fast && slower {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Median time of an admission, nanoseconds.
fn measure(counts: Counts) -> f64 {
    let mut side = full(counts);
    let mut times: Vec<f64> = (0..2 * BATCHES).map(|_| batch(&mut side, counts)).collect();
    times.drain(..BATCHES);
    times.sort_by(f64::total_cmp);
    let (median, p95) = (times[BATCHES / 2], times[BATCHES * 95 / 100]);
    let line = json!({"bench": "submit, poll, cancel", "adapters": counts.loras,
        "waiting": counts.depth, "callers": counts.callers, "median_ns": median.round(),
        "p95_ns": p95.round()});
    println!("{line}");
    median
}

fn batch(side: &mut Scheduler, counts: Counts) -> f64 {
    let start = Instant::now();
    for n in 0..BATCH {
        let id = u64::from(n) + counts.depth + u64::from(BUSY);
        let lora = LoraIx(n.wrapping_mul(7_919) % counts.loras);
        let job = job(id, Some(lora), n % counts.callers);
        let _ = black_box(side.submit(job, Millis(1)));
        black_box(side.poll(Millis(1)));
        side.cancel(JobId(id));
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(BATCH)
}

/// A side with a full batch and a queue of many adapters and callers.
fn full(counts: Counts) -> Scheduler {
    let mut side = Scheduler::new_ext(SchedulerOptions {
        max_batch: BUSY,
        max_queue: u32::MAX,
        weights: ObjectiveWeights {
            stall: 100,
            batch: 0,
        },
        ..SchedulerOptions::default()
    });
    for n in 0..counts.depth + u64::from(BUSY) {
        let of = u32::try_from(n).unwrap_or(u32::MAX);
        let lora = (of >= BUSY).then_some(LoraIx(of % counts.loras));
        let job = job(n, lora, of % counts.callers);
        side.submit(job, Millis(0)).expect("there is time");
        side.poll(Millis(0));
    }
    side
}

fn job(id: u64, lora: Option<LoraIx>, caller: u32) -> Job {
    Job {
        id: JobId(id),
        lora,
        caller: CallerIx(caller),
        claim: 1,
        priority: 0,
        deadline: FAR,
        arrived: Millis(0),
        tokens: 100,
    }
}
