//! One pool: its usable upstreams, their hash ring and the holders of adapters.

use super::holders::Holders;
use super::ring::Ring;
use crate::{LoraIx, UpstreamIx};

/// Upstreams of one pool that may get new work.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    /// Upstreams with a recent report or answer, in ascending order.
    pub(super) fresh: Vec<UpstreamIx>,
    /// Suspect upstreams, in ascending order.
    pub(super) suspect: Vec<UpstreamIx>,
    /// Ring of the fresh upstreams.
    pub(super) ring: Ring,
    /// Holders of adapters, fresh and suspect.
    pub(super) holders: Holders,
}

/// Whether an upstream gets work in its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Availability {
    /// Gets work.
    Fresh,
    /// Gets work if no fresh upstream can take it.
    Suspect,
    /// Gets no work.
    #[default]
    Excluded,
}

impl Pool {
    pub(super) fn new(points: u64) -> Self {
        Self {
            fresh: Vec::new(),
            suspect: Vec::new(),
            ring: Ring::new(points),
            holders: Holders::default(),
        }
    }

    /// Homes for one more copy of an adapter: the first `count`, or the next ones as those become
    /// holders.
    pub(super) fn homes(&self, lora: LoraIx, key: u64, count: usize) -> Vec<UpstreamIx> {
        let held = self.holders.of(lora);
        let first = held.len() - held.len() % count.max(1);
        self.ring.homes(key, first, count, held)
    }

    /// Number of upstreams that may get work.
    pub(super) fn usable(&self) -> usize {
        self.fresh.len() + self.suspect.len()
    }

    pub(super) fn insert(&mut self, up: UpstreamIx, key: u64, availability: Availability) {
        match availability {
            Availability::Fresh => {
                insert_sorted(&mut self.fresh, up);
                self.ring.insert(up, key);
            }
            Availability::Suspect => insert_sorted(&mut self.suspect, up),
            Availability::Excluded => {}
        }
    }

    pub(super) fn remove(&mut self, up: UpstreamIx, key: u64, availability: Availability) {
        match availability {
            Availability::Fresh => {
                remove_sorted(&mut self.fresh, up);
                self.ring.remove(up, key);
            }
            Availability::Suspect => remove_sorted(&mut self.suspect, up),
            Availability::Excluded => {}
        }
    }
}

fn insert_sorted(ups: &mut Vec<UpstreamIx>, up: UpstreamIx) {
    if let Err(at) = ups.binary_search(&up) {
        ups.insert(at, up);
    }
}

fn remove_sorted(ups: &mut Vec<UpstreamIx>, up: UpstreamIx) {
    if let Ok(at) = ups.binary_search(&up) {
        ups.remove(at);
    }
}
