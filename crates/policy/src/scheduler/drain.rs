//! Freeing a slot when all of them are in use.
//!
//! Requests for resident adapters could keep every slot in use indefinitely, and those for absent
//! adapters would wait until their deadlines. Once a request for an absent adapter has waited half
//! of the time until its latest start, one resident adapter gets no new requests until it is unused
//! and can be evicted.

use pumicecleat_types::Millis;

use super::Scheduler;
use super::loading::Stage;
use super::queue::Lane;
use crate::LoraIx;

/// Draining starts when 1/`DRAIN_AFTER_DIVISOR` of the time from arrival to latest start has
/// passed.
const DRAIN_AFTER_DIVISOR: u64 = 2;

impl Scheduler {
    /// Selects the adapter to drain if a slot is needed, and ends draining if none is.
    pub(super) fn update_draining(&mut self, now: Millis) {
        if !self.needs_slot(now) {
            self.draining = None;
            return;
        }
        let current = self.draining.filter(|lora| self.residency.is_ready(*lora));
        self.draining = current.or_else(|| self.least_used(now));
    }

    /// When draining becomes due, if that is yet to come.
    pub(super) fn drain_wake(&self, now: Millis) -> Option<Millis> {
        if self.draining.is_some() || self.residency.has_free_slot() {
            return None;
        }
        self.drain_from().filter(|at| *at > now)
    }

    fn needs_slot(&self, now: Millis) -> bool {
        let ordered = matches!(
            self.loading.stage,
            Stage::Evicting { .. } | Stage::Loading { .. }
        );
        let free = self.residency.has_free_slot() || self.idle_victim(now).is_some();
        !ordered && !free && self.drain_from().is_some_and(|at| now >= at)
    }

    /// Earliest time at which a request for an absent adapter makes draining due.
    fn drain_from(&self) -> Option<Millis> {
        let lanes = self.queue.adapter_lanes();
        let absent = lanes.filter(|(lora, _)| !self.residency.occupies_slot(*lora));
        absent.filter_map(|(_, lane)| lane_drain_from(lane)).min()
    }

    /// Resident adapter with the fewest requests in flight, then with the lowest demand.
    fn least_used(&self, now: Millis) -> Option<LoraIx> {
        let demand = |lora| self.demand.decayed_count(lora, now);
        self.residency
            .ready_slots()
            .min_by(|a, b| {
                let pins = a.1.pins.cmp(&b.1.pins);
                pins.then(demand(a.0).total_cmp(&demand(b.0)))
            })
            .map(|(lora, _)| lora)
    }
}

fn lane_drain_from(lane: &Lane) -> Option<Millis> {
    let oldest = lane.oldest_arrival()?;
    let span = lane.first_start_by()?.since(oldest);
    Some(oldest + Millis(span.0 / DRAIN_AFTER_DIVISOR))
}
