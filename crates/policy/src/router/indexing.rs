//! Keeps the pools' indices in step with the state of upstreams.

use super::Router;
use super::pool::Availability;
use super::upstream::Upstream;
use crate::{LoraIx, PoolIx, UpstreamIx};

/// The part of an upstream's state that the indices depend on.
struct IndexEntry {
    availability: Availability,
    pool: PoolIx,
    key: u64,
    held: Vec<LoraIx>,
}

impl IndexEntry {
    fn of(upstream: &Upstream) -> Self {
        Self {
            availability: upstream.availability(),
            pool: upstream.pool,
            key: upstream.key,
            held: upstream.held(),
        }
    }

    fn location(&self) -> (Availability, PoolIx, u64) {
        (self.availability, self.pool, self.key)
    }
}

impl Router {
    /// Edits an upstream's state and updates the pools' indices to match.
    pub(super) fn update_upstream(&mut self, up: UpstreamIx, edit: impl FnOnce(&mut Upstream)) {
        let upstream = &mut self.upstreams[up.0 as usize];
        let before = IndexEntry::of(upstream);
        edit(upstream);
        let after = IndexEntry::of(upstream);
        if before.location() != after.location() {
            self.remove_from_pool(up, &before);
            self.add_to_pool(up, &after);
        } else if before.held != after.held {
            self.update_holders(up, &before, &after);
        }
    }

    fn remove_from_pool(&mut self, up: UpstreamIx, entry: &IndexEntry) {
        if entry.availability == Availability::Excluded {
            return;
        }
        let pool = &mut self.pools[entry.pool.0 as usize];
        pool.remove(up, entry.key, entry.availability);
        for &lora in &entry.held {
            pool.holders.remove(lora, up);
        }
    }

    fn add_to_pool(&mut self, up: UpstreamIx, entry: &IndexEntry) {
        if entry.availability == Availability::Excluded {
            return;
        }
        let pool = &mut self.pools[entry.pool.0 as usize];
        pool.insert(up, entry.key, entry.availability);
        for &lora in &entry.held {
            pool.holders.insert(lora, up);
        }
    }

    fn update_holders(&mut self, up: UpstreamIx, before: &IndexEntry, after: &IndexEntry) {
        if after.availability == Availability::Excluded {
            return;
        }
        let pool = &mut self.pools[after.pool.0 as usize];
        for &lora in before
            .held
            .iter()
            .filter(|l| after.held.binary_search(l).is_err())
        {
            pool.holders.remove(lora, up);
        }
        for &lora in after
            .held
            .iter()
            .filter(|l| before.held.binary_search(l).is_err())
        {
            pool.holders.insert(lora, up);
        }
    }
}
