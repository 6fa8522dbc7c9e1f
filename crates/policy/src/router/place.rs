//! Keeps the pools' indices in step with what is known of upstreams.

use super::Router;
use super::pool::Standing;
use super::upstream::Upstream;
use crate::{LoraIx, PoolIx, UpstreamIx};

/// Where an upstream is indexed.
struct Place {
    standing: Standing,
    pool: PoolIx,
    key: u64,
    held: Vec<LoraIx>,
}

impl Place {
    fn of(upstream: &Upstream) -> Self {
        Self {
            standing: upstream.standing(),
            pool: upstream.pool,
            key: upstream.key,
            held: upstream.held(),
        }
    }

    fn slot(&self) -> (Standing, PoolIx, u64) {
        (self.standing, self.pool, self.key)
    }
}

impl Router {
    /// Changes a known upstream, and the pools' indices with it.
    pub(super) fn change(&mut self, up: UpstreamIx, edit: impl FnOnce(&mut Upstream)) {
        let upstream = &mut self.upstreams[up.0 as usize];
        let before = Place::of(upstream);
        edit(upstream);
        let after = Place::of(upstream);
        if before.slot() != after.slot() {
            self.withdraw(up, &before);
            self.enter(up, &after);
        } else if before.held != after.held {
            self.rehold(up, &before, &after);
        }
    }

    fn withdraw(&mut self, up: UpstreamIx, place: &Place) {
        if place.standing == Standing::Out {
            return;
        }
        let pool = &mut self.pools[place.pool.0 as usize];
        pool.remove(up, place.key, place.standing);
        for &lora in &place.held {
            pool.holders.remove(lora, up);
        }
    }

    fn enter(&mut self, up: UpstreamIx, place: &Place) {
        if place.standing == Standing::Out {
            return;
        }
        let pool = &mut self.pools[place.pool.0 as usize];
        pool.insert(up, place.key, place.standing);
        for &lora in &place.held {
            pool.holders.insert(lora, up);
        }
    }

    fn rehold(&mut self, up: UpstreamIx, before: &Place, after: &Place) {
        if after.standing == Standing::Out {
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
