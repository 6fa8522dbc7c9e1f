//! Which adapter to load next, and which to evict for it.

use std::cmp::Reverse;

use pumicecleat_types::{Millis, Reason};

use super::loading::Stage;
use super::queue::Lane;
use super::{Action, Bid, Scheduler};
use crate::LoraIx;

impl Scheduler {
    /// Moves the load in hand on.
    pub(super) fn load(&mut self, now: Millis) {
        match self.loading.stage {
            Stage::Idle { next } if now >= next && !self.loading.asking => self.ask(now),
            Stage::Alone { at } if now >= at => self.begin(now),
            Stage::Granted { until } if now < until => self.begin(now),
            Stage::Granted { .. } => self.loading.stage = Stage::Idle { next: now },
            Stage::Loading { lora, renew, .. } if now >= renew && !self.loading.asking => {
                self.keep(lora, now);
            }
            _ => {}
        }
    }

    /// Bids for the most urgent adapter, or gives back a turn that nothing needs.
    fn ask(&mut self, now: Millis) {
        if let Some(bid) = self.wanted(now) {
            self.loading.stage = Stage::Asked;
            self.loading.asking = true;
            self.orders.push(Action::Bid(bid));
        } else if self.loading.held {
            self.orders.push(Action::ReleaseTurn);
        }
        self.loading.held = false;
    }

    /// Loads into a free slot, or frees one first.
    fn begin(&mut self, now: Millis) {
        let Some(bid) = self.wanted(now) else {
            self.loading.stage = Stage::Idle { next: now };
            return self.ask(now);
        };
        if self.residency.has_room() {
            return self.order(bid.lora, now);
        }
        let Some(victim) = self.victim(now) else {
            return;
        };
        if self.residency.evict(victim) {
            let lora = bid.lora;
            self.loading.stage = Stage::Evicting { lora, victim };
            self.orders.push(Action::Unload(victim));
        }
    }

    fn order(&mut self, lora: LoraIx, now: Millis) {
        self.loading.stage = Stage::Loading {
            lora,
            since: now,
            renew: now + self.estimate.load(),
        };
        self.orders.push(Action::Load(lora));
    }

    /// Bids again for the adapter being loaded, so that the turn does not lapse.
    fn keep(&mut self, lora: LoraIx, now: Millis) {
        let bid = match self.queue.lane(Some(lora)) {
            Some(lane) => bid(lora, lane, now),
            None => Bid {
                lora,
                waiting: 0,
                left: Millis(0),
                waited: Millis(0),
            },
        };
        self.loading.asking = true;
        self.orders.push(Action::Bid(bid));
    }

    /// A slot was freed, or the engine kept its adapter.
    pub(super) fn freed(&mut self, gone: bool, now: Millis) {
        let Stage::Evicting { lora, .. } = self.loading.stage else {
            return;
        };
        if gone {
            self.order(lora, now);
        } else {
            self.loading.stage = Stage::Idle { next: now };
        }
    }

    /// A load failed: its requests may try elsewhere.
    pub(super) fn fail(&mut self, lora: LoraIx, now: Millis) {
        let span = self.loading.back_off(lora, now);
        let waiting: Vec<_> = self
            .queue
            .lane(Some(lora))
            .map(|lane| lane.ids().collect())
            .unwrap_or_default();
        for id in waiting {
            self.refuse(id, Reason::LoadFailed, span);
        }
    }

    /// Most urgent absent adapter, if a slot could be had for it.
    fn wanted(&self, now: Millis) -> Option<Bid> {
        if !self.residency.has_room() && self.victim(now).is_none() {
            return None;
        }
        self.queue
            .lanes()
            .filter(|(lora, _)| !self.residency.holds(*lora))
            .map(|(lora, lane)| bid(lora, lane, now))
            .max_by_key(|b| (b.waiting, b.waited, Reverse(b.left)))
    }

    /// Adapter to evict: an idle one, or the one that was drained.
    fn victim(&self, now: Millis) -> Option<LoraIx> {
        let drained = || {
            let mut unpinned = self.residency.unpinned(now);
            unpinned.find(|(lora, _)| self.draining == Some(*lora))
        };
        self.idle_victim(now)
            .or_else(|| drained().map(|(lora, _)| lora))
    }

    /// Adapter without pins or waiting requests that is least in demand.
    pub(super) fn idle_victim(&self, now: Millis) -> Option<LoraIx> {
        self.residency
            .unpinned(now)
            .filter(|(lora, _)| self.queue.lane(Some(*lora)).is_none())
            .min_by(|a, b| {
                let rate = |lora| self.demand.rate(lora, now);
                rate(a.0)
                    .total_cmp(&rate(b.0))
                    .then(a.1.used.cmp(&b.1.used))
            })
            .map(|(lora, _)| lora)
    }

    /// When the load in hand acts by itself, if that is to come.
    pub(super) fn load_wake(&self, now: Millis) -> Option<Millis> {
        let stage = self.loading.wake().filter(|at| *at > now);
        let kept = self.residency.next_try(now);
        stage.into_iter().chain(kept).min()
    }
}

fn bid(lora: LoraIx, lane: &Lane, now: Millis) -> Bid {
    let left = lane.start_by().unwrap_or(now);
    let oldest = lane.oldest().unwrap_or(now);
    Bid {
        lora,
        waiting: u32::try_from(lane.count()).unwrap_or(u32::MAX),
        left: left.since(now),
        waited: now.since(oldest),
    }
}
