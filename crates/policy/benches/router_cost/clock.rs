//! Median time of an operation over batches, after a warm-up.

use std::time::Instant;

/// Batches before the measured ones.
const WARM: usize = 20;

/// Batches measured.
const BATCHES: usize = 101;

/// Operations in a batch.
const BATCH: u32 = 1_000;

/// Median and spread of the mean time in a batch, nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Time {
    pub median: f64,
    pub p95: f64,
}

/// Times `work`, which gets the number of the operation.
pub fn time(mut work: impl FnMut(u32)) -> Time {
    let mut means: Vec<f64> = (0..WARM + BATCHES).map(|_| batch(&mut work)).collect();
    means.drain(..WARM);
    means.sort_by(f64::total_cmp);
    Time {
        median: means[BATCHES / 2],
        p95: means[BATCHES * 95 / 100],
    }
}

fn batch(work: &mut impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for n in 0..BATCH {
        work(n);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(BATCH)
}
