//! One pool: its usable upstreams, their ring, and who holds what.

use super::holders::Holders;
use super::ring::Ring;
use crate::{LoraIx, UpstreamIx};

/// Upstreams of one pool that may get new work.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    /// Upstreams heard of lately, ascending.
    pub(super) fresh: Vec<UpstreamIx>,
    /// Suspect upstreams, ascending.
    pub(super) behind: Vec<UpstreamIx>,
    /// Ring of the fresh ones.
    pub(super) ring: Ring,
    /// Holders among both.
    pub(super) holders: Holders,
}

/// Where an upstream stands in its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// Gets work.
    Fresh,
    /// Gets work if no fresh one can.
    Behind,
    /// Gets none.
    #[default]
    Out,
}

impl Pool {
    pub(super) fn new(points: u64) -> Self {
        Self {
            fresh: Vec::new(),
            behind: Vec::new(),
            ring: Ring::new(points),
            holders: Holders::default(),
        }
    }

    /// Homes for one more copy of an adapter: its first ones, or the next as these fill with copies.
    pub(super) fn homes(&self, lora: LoraIx, key: u64, count: usize) -> Vec<UpstreamIx> {
        let held = self.holders.of(lora);
        let first = held.len() - held.len() % count.max(1);
        self.ring.homes(key, first, count, held)
    }

    /// Upstreams that may get work.
    pub(super) fn usable(&self) -> usize {
        self.fresh.len() + self.behind.len()
    }

    pub(super) fn insert(&mut self, up: UpstreamIx, key: u64, standing: Standing) {
        match standing {
            Standing::Fresh => {
                insert_sorted(&mut self.fresh, up);
                self.ring.insert(up, key);
            }
            Standing::Behind => insert_sorted(&mut self.behind, up),
            Standing::Out => {}
        }
    }

    pub(super) fn remove(&mut self, up: UpstreamIx, key: u64, standing: Standing) {
        match standing {
            Standing::Fresh => {
                remove_sorted(&mut self.fresh, up);
                self.ring.remove(up, key);
            }
            Standing::Behind => remove_sorted(&mut self.behind, up),
            Standing::Out => {}
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
