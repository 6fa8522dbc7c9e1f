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

    /// Side whose bid is the most urgent: most requests per load, then the longest wait.
    pub(super) fn first(&self, now: Millis) -> Option<UpstreamIx> {
        self.sides
            .iter()
            .max_by_key(|(side, e)| {
                let waited = e.bid.waited + now.since(e.at);
                (e.bid.waiting, waited, Reverse(**side))
            })
            .map(|(side, _)| *side)
    }
}
