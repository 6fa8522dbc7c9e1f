//! Expected wait of a request at an upstream: the queue, one step, and the load if the adapter is
//! not resident.

use pumicecleat_types::Millis;

use super::options::RouterOptions;
use super::upstream::{Residency, Upstream};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// A load in progress is assumed to take at least one part in this many of the load time still.
const MIN_REMAINING_DIVISOR: u64 = 4;

/// Wait for the queue and one step, microseconds.
pub(super) fn queue_wait_us(up: &Upstream, options: &RouterOptions) -> u64 {
    let load = &up.load;
    let unreported = u64::try_from(up.unreported_sends.len()).unwrap_or(u64::MAX);
    let busy = u64::from(load.running) + u64::from(load.waiting);
    let free = u64::from(load.max_batch_size).saturating_sub(busy);
    let excess = unreported.saturating_sub(free);
    let queued = u64::from(load.wait_ms) * MICROS_PER_MILLI;
    queued + excess * drain_interval_us(up, options) + u64::from(load.step_us)
}

/// Time in which the queue advances by one request, microseconds.
fn drain_interval_us(up: &Upstream, options: &RouterOptions) -> u64 {
    let load = &up.load;
    if load.waiting > 0 && load.wait_ms > 0 {
        return u64::from(load.wait_ms) * MICROS_PER_MILLI / u64::from(load.waiting);
    }
    options.service_time.0 * MICROS_PER_MILLI / u64::from(load.max_batch_size.max(1))
}

/// Wait for the adapter load, microseconds.
pub(super) fn load_wait_us(
    up: &Upstream,
    residency: Residency,
    load_time: Millis,
    options: &RouterOptions,
    now: Millis,
) -> u64 {
    match residency {
        Residency::Resident => 0,
        Residency::Pending(since) => {
            let remaining = load_time.since(now.since(since));
            remaining.0.max(load_time.0 / MIN_REMAINING_DIVISOR) * MICROS_PER_MILLI
        }
        Residency::Absent => (load_time + slot_wait(up, options)).0 * MICROS_PER_MILLI,
    }
}

/// Wait for a slot if every slot holds an adapter in use.
fn slot_wait(up: &Upstream, options: &RouterOptions) -> Millis {
    let full = up.load.slots > 0 && up.load.spare_slots == 0;
    Millis(if full { options.service_time.0 / 2 } else { 0 })
}
