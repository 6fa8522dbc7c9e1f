//! Order of loads from one weight store: soft state of the entry that ranks first for the store.
//!
//! Sides bid for a turn. The most urgent current bid is granted it, one turn is held at a time, and a turn that is
//! not renewed expires. Correctness does not depend on this: after a wrong reply or the loss of this state, or while
//! two entries both consider themselves first, two loads may run at once, and only take longer. A side that gets no
//! reply from any entry waits for a random time and loads without a turn; see
//! [`Scheduler::bid_unanswered`](crate::Scheduler::bid_unanswered).

mod bids;
mod load_time;
mod options;

use pumicecleat_types::{LoadTurn, Millis};

use crate::{Bid, LoraIx, UpstreamIx};
use bids::Bids;
use load_time::LoadTimeEstimate;

pub use options::LoadOrderOptions;

/// Turn that a side holds.
#[derive(Clone, Copy, Debug)]
struct HeldTurn {
    side: UpstreamIx,
    lora: LoraIx,
    granted_at: Millis,
    expires_at: Millis,
}

/// Order of loads from one weight store.
#[derive(Clone, Debug)]
pub struct LoadOrder {
    options: LoadOrderOptions,
    bids: Bids,
    held: Option<HeldTurn>,
    /// End of the last turn.
    free_since: Millis,
    estimate: LoadTimeEstimate,
}

impl LoadOrder {
    /// Creates an order without bids.
    #[must_use]
    pub fn new_ext(options: LoadOrderOptions) -> Self {
        Self {
            options,
            bids: Bids::default(),
            held: None,
            free_since: Millis(0),
            estimate: LoadTimeEstimate::new(options.initial_load_time),
        }
    }

    /// Handles a bid of a side, or with `None` the return of its turn.
    pub fn bid(&mut self, side: UpstreamIx, bid: Option<&Bid>, now: Millis) -> LoadTurn {
        let Some(bid) = bid else {
            self.bids.remove(side);
            self.end_turn(side, now);
            return self.defer(side, now);
        };
        self.expire(now);
        if let Some(held) = self.held.filter(|h| h.side == side) {
            if held.lora == bid.lora {
                return self.grant(side, bid.lora, held.granted_at, now);
            }
            self.end_turn(side, now);
        }
        self.bids.put(side, *bid, now);
        let latest_due = now + self.options.max_rebid_delay;
        let is_next =
            self.held.is_none() && self.bids.most_urgent_due(now, latest_due) == Some(side);
        if is_next {
            self.bids.remove(side);
            return self.grant(side, bid.lora, now, now);
        }
        self.defer(side, now)
    }

    /// Side to call while the store is idle: the sides that were due first have not bid again, and the most urgent
    /// of the others may be due much later.
    pub fn side_to_call(&mut self, now: Millis) -> Option<UpstreamIx> {
        self.expire(now);
        let idle = self.held.is_none() && now.since(self.free_since) > self.options.max_rebid_delay;
        let side = idle.then(|| self.bids.most_urgent(now)).flatten()?;
        self.bids.set_due(side, now);
        Some(side)
    }

    /// Removes the bid of a side that was called and wants no turn or does not reply.
    pub fn remove_bid(&mut self, side: UpstreamIx) {
        self.bids.remove(side);
    }

    /// Removes the turn and the bid of a side that no longer exists.
    pub fn remove_side(&mut self, side: UpstreamIx) {
        self.bids.remove(side);
        self.held = self.held.filter(|h| h.side != side);
    }

    /// Expected time of a load, estimated from the duration of turns.
    #[must_use]
    pub fn load_time(&self) -> Millis {
        self.estimate.load_time()
    }

    /// Number of sides that have a bid; the side that holds the turn has none.
    #[must_use]
    pub fn waiting_sides(&self) -> usize {
        self.bids.len()
    }

    /// Side that holds the turn, and the adapter that it loads.
    #[must_use]
    pub fn holder(&self) -> Option<(UpstreamIx, LoraIx)> {
        self.held.map(|h| (h.side, h.lora))
    }

    fn grant(
        &mut self,
        side: UpstreamIx,
        lora: LoraIx,
        granted_at: Millis,
        now: Millis,
    ) -> LoadTurn {
        let ttl = self.estimate.ttl();
        self.held = Some(HeldTurn {
            side,
            lora,
            granted_at,
            expires_at: now + ttl,
        });
        LoadTurn::Granted { ttl_ms: ttl.0 }
    }

    /// Ends the turn if the side holds it.
    fn end_turn(&mut self, side: UpstreamIx, now: Millis) {
        if let Some(held) = self.held.filter(|h| h.side == side) {
            self.estimate.add(now.since(held.granted_at));
            self.held = None;
            self.free_since = now;
        }
    }

    /// Removes stale bids, and the turn if it has expired.
    fn expire(&mut self, now: Millis) {
        self.bids.drop_stale(now.since(self.options.bid_grace));
        if let Some(held) = self.held.filter(|h| h.expires_at <= now) {
            self.estimate.add(now.since(held.granted_at));
            self.held = None;
            self.free_since = now;
        }
    }

    /// Expected remaining time of the load that holds the turn. A load that has already taken longer than expected
    /// is assumed to take as long again.
    fn remaining(&self, now: Millis) -> Millis {
        let Some(held) = self.held else {
            return Millis(0);
        };
        let elapsed = now.since(held.granted_at);
        let load_time = self.estimate.load_time();
        if elapsed > load_time {
            elapsed
        } else {
            load_time.since(elapsed)
        }
    }

    /// Tells the side when to bid again: at the expected end of the current turn, plus half the expected time of the
    /// loads ahead of it. A side thus bids a few times until its turn, and the total rate of bids grows little with
    /// the number of sides. A side that is needed earlier is called.
    fn defer(&mut self, side: UpstreamIx, now: Millis) -> LoadTurn {
        let turn_end = self.held.map(|h| h.granted_at + self.estimate.load_time());
        let until_end = turn_end.map_or(Millis(0), |at| at.since(now));
        let turn_delay =
            until_end.clamp(self.options.min_rebid_delay, self.options.max_rebid_delay);
        let ahead = self.bids.count_ahead(side, now);
        let load_ms = self.estimate.load_time().0;
        let queue_delay = Millis(load_ms * ahead / 2).min(self.options.max_queue_delay);
        let rebid_delay = turn_delay + queue_delay;
        self.bids.set_due(side, now + rebid_delay);
        LoadTurn::Wait {
            again_ms: rebid_delay.0,
            turn_ms: self.remaining(now).0 + load_ms * ahead,
            round_ms: load_ms * self.bids.len() as u64,
        }
    }
}
