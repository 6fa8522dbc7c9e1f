//! Consistent hashing, which assigns homes to adapters.
//!
//! Each upstream has a few points on a ring. An adapter probes the ring at a few positions of its
//! own, and its homes are the upstreams whose points follow, the one nearest to its probe first.
//! Entries that know slightly different sets of upstreams still find the same home for almost every
//! adapter.

use std::collections::BTreeSet;

use super::key::seeded_hash;
use crate::UpstreamIx;

/// Offset that keeps the seeds of probes apart from the seeds of points.
const PROBE_SEED_BASE: u64 = 1 << 32;

/// Most probes for each home; more than one is needed if probes hit holders or the same upstream
/// again.
const MAX_PROBES_PER_HOME: usize = 4;

/// Most points that a search for a holder visits.
const MAX_POINTS_SEARCHED: usize = 512;

/// Hash ring of upstreams.
#[derive(Clone, Debug)]
pub(super) struct Ring {
    /// Number of points of each upstream.
    points_per_upstream: u64,
    points: BTreeSet<(u64, UpstreamIx)>,
}

/// Upstream found by a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProbeHit {
    distance: u64,
    up: UpstreamIx,
}

impl Ring {
    pub(super) fn new(points_per_upstream: u64) -> Self {
        let points = BTreeSet::new();
        Self {
            points_per_upstream,
            points,
        }
    }

    pub(super) fn insert(&mut self, up: UpstreamIx, key: u64) {
        for n in 0..self.points_per_upstream {
            self.points.insert((seeded_hash(key, n), up));
        }
    }

    pub(super) fn remove(&mut self, up: UpstreamIx, key: u64) {
        for n in 0..self.points_per_upstream {
            self.points.remove(&(seeded_hash(key, n), up));
        }
    }

    /// At most `count` homes for the adapter with this key, not in `holders`, found by the probes
    /// from number `first` on, the one nearest to its probe first. `holders` is in ascending order.
    pub(super) fn homes(
        &self,
        key: u64,
        first: usize,
        count: usize,
        holders: &[UpstreamIx],
    ) -> Vec<UpstreamIx> {
        let mut hits: Vec<ProbeHit> = Vec::with_capacity(count);
        for n in first..first + count * MAX_PROBES_PER_HOME {
            if hits.len() == count {
                break;
            }
            let probe = seeded_hash(key, PROBE_SEED_BASE + n as u64);
            let next = self.successor(probe);
            let is_new = |f: &ProbeHit| !hits.iter().any(|g| g.up == f.up);
            let is_free = |f: &ProbeHit| holders.binary_search(&f.up).is_err();
            hits.extend(next.filter(|f| is_new(f) && is_free(f)));
        }
        hits.sort_unstable();
        hits.iter().map(|f| f.up).collect()
    }

    /// First of `holders` after a position, within [`MAX_POINTS_SEARCHED`] points. `holders` is in
    /// ascending order.
    pub(super) fn first_holder_after(
        &self,
        position: u64,
        holders: &[UpstreamIx],
    ) -> Option<UpstreamIx> {
        let after = self.points.range((position, UpstreamIx(0))..);
        let nearby = after.chain(&self.points).take(MAX_POINTS_SEARCHED);
        let mut ups = nearby.map(|(_, up)| *up);
        ups.find(|up| holders.binary_search(up).is_ok())
    }

    fn successor(&self, probe: u64) -> Option<ProbeHit> {
        let mut after = self.points.range((probe, UpstreamIx(0))..);
        let &(at, up) = after.next().or_else(|| self.points.first())?;
        let distance = at.wrapping_sub(probe);
        Some(ProbeHit { distance, up })
    }
}
