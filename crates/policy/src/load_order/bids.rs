//! Fresh bids of the sides.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use crate::{Bid, UpstreamIx};

#[derive(Clone, Copy, Debug)]
struct Entry {
    bid: Bid,
    at: Millis,
    /// When the side was told to bid again.
    due: Millis,
}

/// Latest bid of each side.
#[derive(Clone, Debug, Default)]
pub(super) struct Bids {
    sides: BTreeMap<UpstreamIx, Entry>,
}

impl Bids {
    pub(super) fn put(&mut self, side: UpstreamIx, bid: Bid, now: Millis) {
        let (at, due) = (now, now);
        self.sides.insert(side, Entry { bid, at, due });
    }

    /// Notes when a side was told to bid again.
    pub(super) fn expect(&mut self, side: UpstreamIx, due: Millis) {
        if let Some(entry) = self.sides.get_mut(&side) {
            entry.due = due;
        }
    }

    pub(super) fn remove(&mut self, side: UpstreamIx) {
        self.sides.remove(&side);
    }

    pub(super) fn len(&self) -> usize {
        self.sides.len()
    }

    /// Drops bids that were due again before `since`.
    pub(super) fn drop_stale(&mut self, since: Millis) {
        self.sides.retain(|_, e| e.due >= since);
    }

    /// Side whose bid is the most urgent of those due again by `soon`: the store must not stand
    /// idle until a side bids that comes later.
    pub(super) fn first(&self, now: Millis, soon: Millis) -> Option<UpstreamIx> {
        let due = self.sides.iter().filter(|(_, e)| e.due <= soon);
        let ranked = due.map(|(side, e)| (rank(*side, e, now), *side));
        ranked.max().map(|(_, side)| side)
    }

    /// Side with the most urgent bid, whenever it is due.
    pub(super) fn most_urgent(&self, now: Millis) -> Option<UpstreamIx> {
        let ranked = self.sides.iter();
        let ranked = ranked.map(|(side, e)| (rank(*side, e, now), *side));
        ranked.max().map(|(_, side)| side)
    }

    /// Number of bids that are more urgent than the side's.
    pub(super) fn before(&self, side: UpstreamIx, now: Millis) -> u64 {
        let Some(own) = self.sides.get(&side).map(|e| rank(side, e, now)) else {
            return 0;
        };
        let others = self.sides.iter();
        let before = others.filter(|(other, e)| rank(**other, e, now) > own);
        before.count() as u64
    }
}

/// Most requests per load, then the longest wait.
fn rank(side: UpstreamIx, entry: &Entry, now: Millis) -> (u32, Millis, Reverse<UpstreamIx>) {
    let waited = entry.bid.waited + now.since(entry.at);
    (entry.bid.waiting, waited, Reverse(side))
}
