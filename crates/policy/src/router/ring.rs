//! Consistent hashing: which upstreams are an adapter's homes.
//!
//! Each upstream stands at a few points of a ring. An adapter probes the ring at a few points of its
//! own, and its homes are the upstreams found there, the one nearest to its probe first. Entries
//! that know slightly different upstreams still find the same home for almost every adapter.

use std::collections::BTreeSet;

use super::key::point;
use crate::UpstreamIx;

/// Separates the probes' seeds from the points' seeds.
const PROBE: u64 = 1 << 32;

/// Probes for each home at most, where they find holders or the same upstreams again.
const REACH: usize = 4;

/// Points that a search for a holder passes at most.
const WALK: usize = 512;

/// Upstreams on a ring.
#[derive(Clone, Debug)]
pub(super) struct Ring {
    /// Points of each upstream.
    share: u64,
    points: BTreeSet<(u64, UpstreamIx)>,
}

/// Upstream found by a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Found {
    distance: u64,
    up: UpstreamIx,
}

impl Ring {
    pub(super) fn new(share: u64) -> Self {
        let points = BTreeSet::new();
        Self { share, points }
    }

    pub(super) fn insert(&mut self, up: UpstreamIx, key: u64) {
        for n in 0..self.share {
            self.points.insert((point(key, n), up));
        }
    }

    pub(super) fn remove(&mut self, up: UpstreamIx, key: u64) {
        for n in 0..self.share {
            self.points.remove(&(point(key, n), up));
        }
    }

    /// At most `count` homes of the adapter of this key other than `held`, found by the probes from
    /// number `first` on, the one nearest to its probe first. `held` is ascending.
    pub(super) fn homes(
        &self,
        key: u64,
        first: usize,
        count: usize,
        held: &[UpstreamIx],
    ) -> Vec<UpstreamIx> {
        let mut found: Vec<Found> = Vec::with_capacity(count);
        for n in first..first + count * REACH {
            if found.len() == count {
                break;
            }
            let probe = point(key, PROBE + n as u64);
            let next = self.successor(probe);
            let new = |f: &Found| !found.iter().any(|g| g.up == f.up);
            let free = |f: &Found| held.binary_search(&f.up).is_err();
            found.extend(next.filter(|f| new(f) && free(f)));
        }
        found.sort_unstable();
        found.iter().map(|f| f.up).collect()
    }

    /// First of `held` after a place, among the points near it. `held` is ascending.
    pub(super) fn first_of(&self, place: u64, held: &[UpstreamIx]) -> Option<UpstreamIx> {
        let after = self.points.range((place, UpstreamIx(0))..);
        let round = after.chain(&self.points).take(WALK);
        let mut ups = round.map(|(_, up)| *up);
        ups.find(|up| held.binary_search(up).is_ok())
    }

    fn successor(&self, probe: u64) -> Option<Found> {
        let mut after = self.points.range((probe, UpstreamIx(0))..);
        let &(at, up) = after.next().or_else(|| self.points.first())?;
        let distance = at.wrapping_sub(probe);
        Some(Found { distance, up })
    }
}
