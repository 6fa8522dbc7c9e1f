//! Fresh bids of the sides.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use crate::{Bid, UpstreamIx};

#[derive(Clone, Copy, Debug)]
struct Entry {
    bid: Bid,
    at: Millis,
}

/// Latest bid of each side.
#[derive(Clone, Debug, Default)]
pub(super) struct Bids {
    sides: BTreeMap<UpstreamIx, Entry>,
}

impl Bids {
    pub(super) fn put(&mut self, side: UpstreamIx, bid: Bid, now: Millis) {
        self.sides.insert(side, Entry { bid, at: now });
    }

    pub(super) fn remove(&mut self, side: UpstreamIx) {
        self.sides.remove(&side);
    }

    pub(super) fn len(&self) -> usize {
        self.sides.len()
    }

    /// Drops bids older than `since`.
    pub(super) fn drop_stale(&mut self, since: Millis) {
        self.sides.retain(|_, e| e.at >= since);
    }

    /// Side whose bid is the most urgent.
    pub(super) fn first(&self, now: Millis) -> Option<UpstreamIx> {
        let ranked = self
            .sides
            .iter()
            .map(|(side, e)| (rank(*side, e, now), *side));
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
