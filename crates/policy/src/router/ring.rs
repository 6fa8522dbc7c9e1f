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

    /// At most `count` homes of the adapter of this key, found by the probes from number `first` on,
    /// the first one best.
    pub(super) fn homes(&self, key: u64, first: usize, count: usize) -> Vec<UpstreamIx> {
        let numbers = first as u64..(first + count) as u64;
        let probes = numbers.map(|n| point(key, PROBE + n));
        let mut found: Vec<Found> = probes.filter_map(|p| self.successor(p)).collect();
        found.sort_unstable();
        let mut homes = Vec::with_capacity(found.len());
        for f in found {
            if !homes.contains(&f.up) {
                homes.push(f.up);
            }
        }
        homes
    }

    fn successor(&self, probe: u64) -> Option<Found> {
        let mut after = self.points.range((probe, UpstreamIx(0))..);
        let &(at, up) = after.next().or_else(|| self.points.first())?;
        let distance = at.wrapping_sub(probe);
        Some(Found { distance, up })
    }
}
