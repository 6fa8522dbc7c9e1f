//! Which adapter to load next, and which to evict for it.

use std::cmp::Reverse;

use pumicecleat_types::{Millis, Reason};

use super::loading::Stage;
use super::queue::Lane;
use super::{Action, Bid, Scheduler};
use crate::LoraIx;

impl Scheduler {
    /// Advances the load in progress.
    pub(super) fn advance_load(&mut self, now: Millis) {
        match self.loading.stage {
            Stage::Idle { bid_at } if now >= bid_at && !self.loading.bid_pending => {
                self.bid_or_release(now);
            }
            Stage::WithoutTurn { at } if now >= at => self.start_load(now),
            Stage::Granted { until } if now < until => self.start_load(now),
            Stage::Granted { .. } => self.loading.stage = Stage::Idle { bid_at: now },
            Stage::Loading { lora, renew_at, .. }
                if now >= renew_at && !self.loading.bid_pending =>
            {
                self.renew_turn(lora, now);
            }
            _ => {}
        }
    }

    /// Bids for the most urgent adapter, or releases a turn that is no longer needed.
    fn bid_or_release(&mut self, now: Millis) {
        if let Some(bid) = self.next_bid(now) {
            self.loading.stage = Stage::Bidding;
            self.loading.bid_pending = true;
            self.actions.push(Action::Bid(bid));
        } else if self.loading.turn_held {
            self.actions.push(Action::ReleaseTurn);
        }
        self.loading.turn_held = false;
    }

    /// Orders the load if a slot is free, or the eviction of a victim first.
    fn start_load(&mut self, now: Millis) {
        let Some(bid) = self.next_bid(now) else {
            self.loading.stage = Stage::Idle { bid_at: now };
            return self.bid_or_release(now);
        };
        if self.residency.has_free_slot() {
            return self.order_load(bid.lora, now);
        }
        let Some(victim) = self.victim(now) else {
            return;
        };
        if self.residency.start_eviction(victim) {
            let lora = bid.lora;
            self.loading.stage = Stage::Evicting { lora, victim };
            self.actions.push(Action::Unload(victim));
        }
    }

    fn order_load(&mut self, lora: LoraIx, now: Millis) {
        self.loading.stage = Stage::Loading {
            lora,
            ordered_at: now,
            renew_at: now + self.estimate.load_time(),
        };
        self.actions.push(Action::Load(lora));
    }

    /// Bids again for the adapter being loaded, so that the turn does not expire.
    fn renew_turn(&mut self, lora: LoraIx, now: Millis) {
        let bid = match self.queue.lane(Some(lora)) {
            Some(lane) => lane_bid(lora, lane, now),
            None => Bid {
                lora,
                waiting: 0,
                left: Millis(0),
                waited: Millis(0),
            },
        };
        self.loading.bid_pending = true;
        self.actions.push(Action::Bid(bid));
    }

    /// An eviction ended: its slot is free, or the engine kept the adapter.
    pub(super) fn eviction_ended(&mut self, gone: bool, now: Millis) {
        let Stage::Evicting { lora, .. } = self.loading.stage else {
            return;
        };
        if gone {
            self.order_load(lora, now);
        } else {
            self.loading.stage = Stage::Idle { bid_at: now };
        }
    }

    /// A load failed: starts its back-off and refuses the adapter's requests, so that they can be
    /// retried at another upstream.
    pub(super) fn load_failed(&mut self, lora: LoraIx, now: Millis) {
        let back_off = self.loading.start_back_off(lora, now);
        let waiting: Vec<_> = self
            .queue
            .lane(Some(lora))
            .map(|lane| lane.ids().collect())
            .unwrap_or_default();
        for id in waiting {
            self.refuse(id, Reason::LoadFailed, back_off);
        }
    }

    /// Bid for the most urgent absent adapter, if a slot is or can be made free for it.
    fn next_bid(&self, now: Millis) -> Option<Bid> {
        if !self.residency.has_free_slot() && self.victim(now).is_none() {
            return None;
        }
        self.queue
            .adapter_lanes()
            .filter(|(lora, _)| !self.residency.occupies_slot(*lora))
            .map(|(lora, lane)| lane_bid(lora, lane, now))
            .max_by_key(|b| (b.waiting, b.waited, Reverse(b.left)))
    }

    /// Adapter to evict: an idle one, or else the drained one.
    fn victim(&self, now: Millis) -> Option<LoraIx> {
        let drained = || {
            let mut evictable = self.residency.evictable(now);
            evictable.find(|(lora, _)| self.draining == Some(*lora))
        };
        self.idle_victim(now)
            .or_else(|| drained().map(|(lora, _)| lora))
    }

    /// Adapter with the lowest demand among those without pins and waiting requests.
    pub(super) fn idle_victim(&self, now: Millis) -> Option<LoraIx> {
        self.residency
            .evictable(now)
            .filter(|(lora, _)| self.queue.lane(Some(*lora)).is_none())
            .min_by(|a, b| {
                let demand = |lora| self.demand.decayed_count(lora, now);
                demand(a.0)
                    .total_cmp(&demand(b.0))
                    .then(a.1.last_used.cmp(&b.1.last_used))
            })
            .map(|(lora, _)| lora)
    }

    /// When the load in progress next needs a poll, if that is yet to come.
    pub(super) fn load_wake(&self, now: Millis) -> Option<Millis> {
        let stage = self.loading.wake().filter(|at| *at > now);
        let retry = self.residency.next_eviction_retry(now);
        stage.into_iter().chain(retry).min()
    }
}

fn lane_bid(lora: LoraIx, lane: &Lane, now: Millis) -> Bid {
    let left = lane.first_start_by().unwrap_or(now);
    let oldest = lane.oldest_arrival().unwrap_or(now);
    Bid {
        lora,
        waiting: u32::try_from(lane.count()).unwrap_or(u32::MAX),
        left: left.since(now),
        waited: now.since(oldest),
    }
}
