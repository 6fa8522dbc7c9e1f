//! Expected wait of a request at an upstream: queue, one step, and the load if the adapter is absent.

use pumicecleat_types::Millis;

use super::options::RouterOptions;
use super::upstream::{Hold, Upstream};

/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;

/// Share of a load still to come, at the least, while it is seen to be under way: one part in this.
const REST: u64 = 4;

/// Wait of the queue and one step, microseconds.
pub(super) fn queue_us(up: &Upstream, options: &RouterOptions) -> u64 {
    let load = &up.load;
    let own = u64::try_from(up.sends.len()).unwrap_or(u64::MAX);
    let busy = u64::from(load.running) + u64::from(load.waiting);
    let room = u64::from(load.batch).saturating_sub(busy);
    let extra = own.saturating_sub(room);
    let queued = u64::from(load.wait_ms) * MICROS;
    queued + extra * drain_us(up, options) + u64::from(load.step_us)
}

/// Time in which the queue moves by one request, microseconds.
fn drain_us(up: &Upstream, options: &RouterOptions) -> u64 {
    let load = &up.load;
    if load.waiting > 0 && load.wait_ms > 0 {
        return u64::from(load.wait_ms) * MICROS / u64::from(load.waiting);
    }
    options.service_time.0 * MICROS / u64::from(load.batch.max(1))
}

/// Wait for the adapter, microseconds.
pub(super) fn load_us(
    up: &Upstream,
    hold: Hold,
    load: Millis,
    o: &RouterOptions,
    now: Millis,
) -> u64 {
    match hold {
        Hold::Resident => 0,
        Hold::Coming(since) => {
            let rest = load.since(now.since(since));
            rest.0.max(load.0 / REST) * MICROS
        }
        Hold::Absent => (load + slot_wait(up, o)).0 * MICROS,
    }
}

/// Wait for a slot, where each holds an adapter in use.
fn slot_wait(up: &Upstream, options: &RouterOptions) -> Millis {
    let full = up.load.slots > 0 && up.load.spare == 0;
    Millis(if full { options.service_time.0 / 2 } else { 0 })
}
