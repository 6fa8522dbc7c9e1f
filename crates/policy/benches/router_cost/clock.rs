//! Measures the time of an operation in batches, after a warm-up.

use std::time::Instant;

/// Batches run before the measured ones.
const WARMUP_BATCHES: usize = 20;

/// Measured batches.
const MEASURED_BATCHES: usize = 101;

/// Operations in a batch.
const OPS_PER_BATCH: u32 = 1_000;

/// Median and 95th percentile of the batches' mean time per operation, nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub median: f64,
    pub p95: f64,
}

/// Measures `op`, which is passed the number of the operation in its batch.
pub fn measure(mut op: impl FnMut(u32)) -> Timing {
    let mut means: Vec<f64> = (0..WARMUP_BATCHES + MEASURED_BATCHES)
        .map(|_| mean_ns(&mut op))
        .collect();
    means.drain(..WARMUP_BATCHES);
    means.sort_by(f64::total_cmp);
    Timing {
        median: means[MEASURED_BATCHES / 2],
        p95: means[MEASURED_BATCHES * 95 / 100],
    }
}

fn mean_ns(op: &mut impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for n in 0..OPS_PER_BATCH {
        op(n);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(OPS_PER_BATCH)
}
