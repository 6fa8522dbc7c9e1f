//! Staggered waits, so that a few processes read the streams on behalf of all.
//!
//! Each process may rely on a read of the list by another process for a limited time and then reads the list
//! itself. If all processes waited equally long, all would read at the same time. So about two of them,
//! chosen by their seeds, wait about half as long as the others, which then rarely read.

use std::time::Duration;

/// Average number of early readers. About one deployment in seven has none.
const EARLY_READERS: f64 = 2.0;

/// Shortest and longest waits of early readers, as fractions of the maximum age of the list.
const EARLY_WAIT_FRACTIONS: (f64, f64) = (0.4, 0.6);

/// Shortest and longest waits of all other processes. The minimum leaves time for the news of an early read
/// to arrive by two message exchanges of 200 ms each.
const LATE_WAIT_FRACTIONS: (f64, f64) = (0.8, 1.0);

/// Shortest staggered wait, as a fraction of the span.
const MIN_WAIT_FRACTION: f64 = 0.5;

/// Longest staggered wait, as a fraction of the span multiplied by the number of processes.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Step between the random numbers of successive reads: 2^64 divided by the golden ratio, for an even spread.
const RANDOM_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the age of the list at which the process with `seed`, one of `follower_count`, reads the list
/// itself; at most `max_age`.
pub(crate) fn max_read_age(max_age: Duration, seed: u64, follower_count: u32) -> Duration {
    let random = to_f64(seed >> 11) / to_f64(u64::MAX >> 11);
    let early = (EARLY_READERS / f64::from(follower_count.max(1))).min(1.0);
    let fraction = if random < early {
        interpolate(EARLY_WAIT_FRACTIONS, random / early)
    } else {
        interpolate(LATE_WAIT_FRACTIONS, (random - early) / (1.0 - early))
    };
    max_age.mul_f64(fraction)
}

/// Returns the time that the `n`th read by the process with `seed`, one of `follower_count`, may wait for a
/// record. Some process ends its wait about once in each `span`, and reads that started together end at
/// different times.
pub(crate) fn staggered_wait(span: Duration, seed: u64, n: u64, follower_count: u32) -> Duration {
    let random = seed.wrapping_add(n.wrapping_mul(RANDOM_STEP));
    let random = to_f64(random >> 11) / to_f64(u64::MAX >> 11);
    let max_fraction = (f64::from(follower_count) * MAX_WAIT_FRACTION).max(2.0 * MIN_WAIT_FRACTION);
    span.mul_f64(interpolate((MIN_WAIT_FRACTION, max_fraction), random))
}

fn interpolate((min_fraction, max_fraction): (f64, f64), fraction: f64) -> f64 {
    min_fraction + (max_fraction - min_fraction) * fraction
}

#[allow(clippy::cast_precision_loss, reason = "53 bits fit")]
fn to_f64(n: u64) -> f64 {
    n as f64
}
