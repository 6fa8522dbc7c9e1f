//! Who reads the list for all.
//!
//! Each process may believe what another has read for a while, and reads by itself when that is over.
//! If all waited equally long, all would read at the same time. So about two of them, by their seeds, wait
//! half as long as the others, who then hardly ever read.

use std::time::Duration;

/// Processes that read before the others, on average: none of them is there once in seven fleets.
const EARLY: f64 = 2.0;

/// Shortest and longest waits of those, in parts of the time for which a list may be believed.
const EARLY_PARTS: (f64, f64) = (0.4, 0.6);

/// The same for all others: the least leaves time for the word of the early ones, by way of two exchanges
/// of 200 ms.
const LATE_PARTS: (f64, f64) = (0.8, 1.0);

/// Shortest staggered wait, in parts of the span.
const LEAST_WAIT_PART: f64 = 0.5;

/// Longest staggered wait, in parts of the span times the number of processes.
const MOST_WAIT_PART: f64 = 0.5;

/// Step between the rolls of successive reads; rolls a golden ratio apart spread evenly.
const ROLL_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Time for which the process of `seed`, one of `followers`, believes a list that may be believed for
/// `most`.
pub(crate) fn believed(most: Duration, seed: u64, followers: u32) -> Duration {
    let roll = approximate(seed >> 11) / approximate(u64::MAX >> 11);
    let early = (EARLY / f64::from(followers.max(1))).min(1.0);
    let part = if roll < early {
        between(EARLY_PARTS, roll / early)
    } else {
        between(LATE_PARTS, (roll - early) / (1.0 - early))
    };
    most.mul_f64(part)
}

/// Time that the `n`th read by the process of `seed`, one of `followers`, may wait for a record, so that some
/// process ends its wait about once in each `span`. Processes whose reads began together end them apart.
pub(crate) fn staggered_wait(span: Duration, seed: u64, n: u64, followers: u32) -> Duration {
    let roll = seed.wrapping_add(n.wrapping_mul(ROLL_STEP));
    let roll = approximate(roll >> 11) / approximate(u64::MAX >> 11);
    let most = (f64::from(followers) * MOST_WAIT_PART).max(2.0 * LEAST_WAIT_PART);
    span.mul_f64(between((LEAST_WAIT_PART, most), roll))
}

fn between((least, most): (f64, f64), part: f64) -> f64 {
    least + (most - least) * part
}

#[allow(clippy::cast_precision_loss, reason = "53 bits fit")]
fn approximate(n: u64) -> f64 {
    n as f64
}
