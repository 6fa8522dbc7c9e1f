//! Current bids of the sides.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use crate::{Bid, UpstreamIx};

#[derive(Clone, Copy, Debug)]
struct StoredBid {
    bid: Bid,
    received_at: Millis,
    /// Time at which the side is due to bid again.
    due: Millis,
}

/// Latest bid of each side.
#[derive(Clone, Debug, Default)]
pub(super) struct Bids {
    by_side: BTreeMap<UpstreamIx, StoredBid>,
}

impl Bids {
    pub(super) fn put(&mut self, side: UpstreamIx, bid: Bid, now: Millis) {
        let (received_at, due) = (now, now);
        self.by_side.insert(
            side,
            StoredBid {
                bid,
                received_at,
                due,
            },
        );
    }

    /// Sets the time at which a side is due to bid again.
    pub(super) fn set_due(&mut self, side: UpstreamIx, due: Millis) {
        if let Some(stored) = self.by_side.get_mut(&side) {
            stored.due = due;
        }
    }

    pub(super) fn remove(&mut self, side: UpstreamIx) {
        self.by_side.remove(&side);
    }

    pub(super) fn len(&self) -> usize {
        self.by_side.len()
    }

    /// Removes bids that were due again before `oldest_due`.
    pub(super) fn drop_stale(&mut self, oldest_due: Millis) {
        self.by_side.retain(|_, b| b.due >= oldest_due);
    }

    /// Side with the most urgent bid among those due again by `latest_due`. Later ones are not considered, because
    /// the store must not be idle until such a side bids again.
    pub(super) fn most_urgent_due(&self, now: Millis, latest_due: Millis) -> Option<UpstreamIx> {
        let due = self.by_side.iter().filter(|(_, b)| b.due <= latest_due);
        let ranked = due.map(|(side, b)| (urgency(*side, b, now), *side));
        ranked.max().map(|(_, side)| side)
    }

    /// Side with the most urgent bid, regardless of when it is due again.
    pub(super) fn most_urgent(&self, now: Millis) -> Option<UpstreamIx> {
        let ranked = self.by_side.iter();
        let ranked = ranked.map(|(side, b)| (urgency(*side, b, now), *side));
        ranked.max().map(|(_, side)| side)
    }

    /// Number of bids that are more urgent than that of the side.
    pub(super) fn count_ahead(&self, side: UpstreamIx, now: Millis) -> u64 {
        let Some(own) = self.by_side.get(&side).map(|b| urgency(side, b, now)) else {
            return 0;
        };
        let others = self.by_side.iter();
        let ahead = others.filter(|(other, b)| urgency(**other, b, now) > own);
        ahead.count() as u64
    }
}

/// Orders bids by the number of requests that the load serves, then by their longest wait.
fn urgency(
    side: UpstreamIx,
    stored: &StoredBid,
    now: Millis,
) -> (u32, Millis, Reverse<UpstreamIx>) {
    let waited = stored.bid.waited + now.since(stored.received_at);
    (stored.bid.waiting, waited, Reverse(side))
}
