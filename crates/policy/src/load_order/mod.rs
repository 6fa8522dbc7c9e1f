//! Who loads next from one weight store: soft state of the entry that ranks first for the store.
//!
//! Sides bid; the most urgent fresh bid gets the turn, one at a time, and a turn that isn't kept
//! lapses. Nothing here makes a load safe: a wrong answer, a lost order or two entries that both
//! think they rank first only let two loads run at once, and each is slower for it. A side that no
//! entry answers waits for a random span and loads without a turn; see
//! [`Scheduler::bid_unanswered`](crate::Scheduler::bid_unanswered).

mod bids;
mod options;
mod pace;

use pumicecleat_types::{LoadTurn, Millis};

use crate::{Bid, LoraIx, UpstreamIx};
use bids::Bids;
use pace::Pace;

pub use options::LoadOrderOptions;

/// The turn held.
#[derive(Clone, Copy, Debug)]
struct Holder {
    side: UpstreamIx,
    lora: LoraIx,
    since: Millis,
    until: Millis,
}

/// Order of loads from one store.
#[derive(Clone, Debug)]
pub struct LoadOrder {
    options: LoadOrderOptions,
    bids: Bids,
    holder: Option<Holder>,
    /// When the last turn ended.
    free: Millis,
    pace: Pace,
}

impl LoadOrder {
    /// Order without bids.
    #[must_use]
    pub fn new_ext(options: LoadOrderOptions) -> Self {
        Self {
            options,
            bids: Bids::default(),
            holder: None,
            free: Millis(0),
            pace: Pace::new(options.load),
        }
    }

    /// A side bids, or gives its turn back with `None`.
    pub fn bid(&mut self, side: UpstreamIx, bid: Option<&Bid>, now: Millis) -> LoadTurn {
        let Some(bid) = bid else {
            self.bids.remove(side);
            self.end(side, now);
            return self.wait(side, now);
        };
        self.drop_stale(now);
        if let Some(holder) = self.holder.filter(|h| h.side == side) {
            if holder.lora == bid.lora {
                return self.grant(side, bid.lora, holder.since, now);
            }
            self.end(side, now);
        }
        self.bids.put(side, *bid, now);
        let soon = now + self.options.longest;
        let first = self.holder.is_none() && self.bids.first(now, soon) == Some(side);
        if first {
            self.bids.remove(side);
            return self.grant(side, bid.lora, now, now);
        }
        self.wait(side, now)
    }

    /// Side to call, as the store stands idle: those that were to come back first have not, and the
    /// most urgent of the others may have been told to come back much later.
    pub fn call(&mut self, now: Millis) -> Option<UpstreamIx> {
        self.drop_stale(now);
        let idle = self.holder.is_none() && now.since(self.free) > self.options.longest;
        let side = idle.then(|| self.bids.most_urgent(now)).flatten()?;
        self.bids.expect(side, now);
        Some(side)
    }

    /// A side that was called wants no turn, or does not answer: its bid ends.
    pub fn uncalled(&mut self, side: UpstreamIx) {
        self.bids.remove(side);
    }

    /// A side is gone: its turn and its bid end.
    pub fn forget(&mut self, side: UpstreamIx) {
        self.bids.remove(side);
        self.holder = self.holder.filter(|h| h.side != side);
    }

    /// Expected time of a load, as seen by the turns.
    #[must_use]
    pub fn load(&self) -> Millis {
        self.pace.load()
    }

    /// Sides that have a fresh bid, with the one that holds the turn.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.bids.len()
    }

    /// Side that holds the turn, and the adapter it loads.
    #[must_use]
    pub fn holder(&self) -> Option<(UpstreamIx, LoraIx)> {
        self.holder.map(|h| (h.side, h.lora))
    }

    fn grant(&mut self, side: UpstreamIx, lora: LoraIx, since: Millis, now: Millis) -> LoadTurn {
        let ttl = self.pace.ttl();
        self.holder = Some(Holder {
            side,
            lora,
            since,
            until: now + ttl,
        });
        LoadTurn::Go { ttl_ms: ttl.0 }
    }

    /// Ends the side's turn, if it holds it.
    fn end(&mut self, side: UpstreamIx, now: Millis) {
        if let Some(holder) = self.holder.filter(|h| h.side == side) {
            self.pace.took(now.since(holder.since));
            self.holder = None;
            self.free = now;
        }
    }

    fn drop_stale(&mut self, now: Millis) {
        self.bids.drop_stale(now.since(self.options.fresh));
        if let Some(holder) = self.holder.filter(|h| h.until <= now) {
            self.pace.took(now.since(holder.since));
            self.holder = None;
            self.free = now;
        }
    }

    /// Rest of the load that holds the turn: one that takes longer than expected may take as long again.
    fn rest(&self, now: Millis) -> Millis {
        let Some(holder) = self.holder else {
            return Millis(0);
        };
        let held = now.since(holder.since);
        let load = self.pace.load();
        if held > load { held } else { load.since(held) }
    }

    /// When to bid again: at the end of the turn that holds, and later by half the loads that go
    /// before. So a side comes back a few times until its turn, and all together bid at a rate
    /// that grows little with their number. One that is needed earlier is called.
    fn wait(&mut self, side: UpstreamIx, now: Millis) -> LoadTurn {
        let end = self.holder.map(|h| h.since + self.pace.load());
        let left = end.map_or(Millis(0), |at| at.since(now));
        let next = left.clamp(self.options.shortest, self.options.longest);
        let before = self.bids.before(side, now);
        let load = self.pace.load().0;
        let queue = Millis(load * before / 2).min(self.options.queue);
        let again = next + queue;
        self.bids.expect(side, now + again);
        LoadTurn::Wait {
            again_ms: again.0,
            turn_ms: self.rest(now).0 + load * before,
            round_ms: load * self.bids.len() as u64,
        }
    }
}
