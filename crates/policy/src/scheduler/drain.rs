//! Freeing a slot where every one is in use.
//!
//! Requests for resident adapters could keep every slot in use for ever, and those for absent ones
//! would wait until their deadlines. Once one has spent half of its time to start, a resident adapter
//! gets no new requests until it is out of use and can be evicted.

use pumicecleat_types::Millis;

use super::Scheduler;
use super::loading::Stage;
use super::queue::Lane;
use crate::LoraIx;

/// One part in this of the time to start is spent before a slot is freed.
const PATIENCE: u64 = 2;

impl Scheduler {
    /// Chooses the adapter that gets no new requests, if there is need.
    pub(super) fn drain(&mut self, now: Millis) {
        if !self.needs_slot(now) {
            self.draining = None;
            return;
        }
        let still = self.draining.filter(|lora| self.residency.ready(*lora));
        self.draining = still.or_else(|| self.least_used(now));
    }

    /// When a request will have waited for too long.
    pub(super) fn drain_wake(&self, now: Millis) -> Option<Millis> {
        if self.draining.is_some() || self.residency.has_room() {
            return None;
        }
        self.late_from().filter(|at| *at > now)
    }

    fn needs_slot(&self, now: Millis) -> bool {
        let ordered = matches!(
            self.loading.stage,
            Stage::Evicting { .. } | Stage::Loading { .. }
        );
        let free = self.residency.has_room() || self.idle_victim(now).is_some();
        !ordered && !free && self.late_from().is_some_and(|at| now >= at)
    }

    /// When the first request for an absent adapter has spent its part of the time to start.
    fn late_from(&self) -> Option<Millis> {
        let lanes = self.queue.lanes();
        let absent = lanes.filter(|(lora, _)| !self.residency.holds(*lora));
        absent.filter_map(|(_, lane)| late_from(lane)).min()
    }

    /// Resident adapter with the fewest requests in flight, then the least in demand.
    fn least_used(&self, now: Millis) -> Option<LoraIx> {
        let rate = |lora| self.demand.rate(lora, now);
        self.residency
            .slots()
            .min_by(|a, b| {
                let pins = a.1.pins.cmp(&b.1.pins);
                pins.then(rate(a.0).total_cmp(&rate(b.0)))
            })
            .map(|(lora, _)| lora)
    }
}

fn late_from(lane: &Lane) -> Option<Millis> {
    let oldest = lane.oldest()?;
    let span = lane.start_by()?.since(oldest);
    Some(oldest + Millis(span.0 / PATIENCE))
}
