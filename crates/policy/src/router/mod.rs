//! Selection of an upstream at an entry.
//!
//! [`Router`] keeps soft state about upstreams, built from their reports and from the outcomes of
//! this entry's own attempts. It can be out of date by seconds; the side next to an upstream
//! decides finally by refusing an attempt. A decision looks at a few candidates only: a sample of
//! the upstreams that hold the adapter, and the adapter's homes on a hash ring. Its cost therefore
//! does not grow with the number of upstreams or adapters, except for the depth of ordered sets.
//!
//! - `query`: the query, the decision and the outcome of an attempt
//! - `upstream`: the state of one upstream
//! - `pool`, `ring`, `holders`: the indices that candidates are taken from
//! - `indexing`: keeps these indices in step with the state of upstreams
//! - `estimate`: the expected wait
//! - `choose`: the decision
//! - `batching`: the preference for upstreams that are already running a batch
//! - `demotion`: the ranking of stalled upstreams
//! - `outcome`: updates from attempts
//! - `prefix`: affinity to cached prompt prefixes
//! - `rank`: rendezvous hashing for work that is not bound to an adapter
//! - `budget`: the retry budget

mod batching;
mod budget;
mod choose;
mod demotion;
mod estimate;
mod holders;
mod indexing;
mod key;
mod options;
mod outcome;
mod pool;
mod prefix;
mod query;
mod rank;
mod ring;
mod rng;
mod upstream;

pub use budget::{RetryBudget, RetryBudgetOptions};
pub use key::{lora_key, name_key, part_key, upstream_key};
pub use options::RouterOptions;
pub use prefix::PromptAffinity;
pub use query::{AttemptOutcome, RouteDecision, RouteQuery, SelectedUpstream, UpstreamStatus};

use pumicecleat_types::Millis;

use crate::{LoraIx, ObjectiveWeights, PoolIx, UpstreamIx};
use key::index_key;
use pool::Pool;
use rng::SplitMix64;
use upstream::Upstream;

/// Selects upstreams for one entry.
#[derive(Clone, Debug)]
pub struct Router {
    options: RouterOptions,
    load_time: Millis,
    /// Cost added to an upstream whose batch is empty.
    idle_penalty: Millis,
    rng: SplitMix64,
    upstreams: Vec<Upstream>,
    pools: Vec<Pool>,
    /// Keys of adapters by index; 0 where no key was set.
    lora_keys: Vec<u64>,
}

impl Router {
    /// Creates a router that knows no upstreams.
    #[must_use]
    pub fn new_ext(options: RouterOptions) -> Self {
        Self {
            options,
            load_time: options.load_time,
            idle_penalty: Millis(0),
            rng: SplitMix64::new(options.seed),
            upstreams: Vec::new(),
            pools: Vec::new(),
            lora_keys: Vec::new(),
        }
    }

    /// Sets the key of an upstream, see [`upstream_key`]. Without it, entries don't agree on homes.
    pub fn set_upstream_key(&mut self, up: UpstreamIx, key: u64) {
        self.ensure_upstream(up);
        self.update_upstream(up, |u| u.key = key);
    }

    /// Sets the key of an adapter, see [`lora_key`]. Without it, entries don't agree on its homes.
    pub fn set_lora_key(&mut self, lora: LoraIx, key: u64) {
        let index = lora.0 as usize;
        if index >= self.lora_keys.len() {
            self.lora_keys.resize(index + 1, 0);
        }
        self.lora_keys[index] = key;
    }

    /// Sets the expected time of an adapter load.
    pub fn set_load_time(&mut self, load_time: Millis) {
        self.load_time = load_time;
    }

    /// Sets the deployment's weights. Until then, upstreams with an empty batch cost nothing extra.
    pub fn set_weights(&mut self, weights: ObjectiveWeights) {
        self.idle_penalty = weights.scale_by_batch(self.options.idle_penalty);
    }

    /// Applies a report; `resident` is `None` if the resident adapters are unchanged.
    pub fn report(
        &mut self,
        up: UpstreamIx,
        pool: PoolIx,
        status: &UpstreamStatus,
        resident: Option<&[LoraIx]>,
        loading: Option<LoraIx>,
        now: Millis,
    ) {
        let report_lag = self.options.report_lag;
        let load_timeout = report_lag + self.load_time + self.load_time;
        self.ensure_pool(pool);
        self.ensure_upstream(up);
        self.update_upstream(up, |u| {
            u.pool = pool;
            u.load = status.load;
            u.usable = status.healthy && !status.leaving;
            u.suspect = false;
            u.last_seen = Some(now);
            if let Some(loras) = resident {
                u.set_resident(loras);
            }
            u.set_loading(loading, now);
            u.drop_reported_sends(now, report_lag);
            u.drop_settled_loads(now, load_timeout);
        });
    }

    /// Excludes an upstream from new work, whatever its reports say, until it is forgotten.
    pub fn mark_leaving(&mut self, up: UpstreamIx) {
        self.ensure_upstream(up);
        self.update_upstream(up, |u| u.leaving = true);
    }

    /// Drops the state of an upstream; its index may be reused for another one.
    pub fn forget(&mut self, up: UpstreamIx) {
        if self.upstreams.get(up.0 as usize).is_some() {
            self.update_upstream(up, |u| *u = Upstream::new(up));
        }
    }

    /// Marks upstreams without recent reports or answers as suspect, and later forgets them.
    ///
    /// Returns the forgotten ones.
    pub fn expire(&mut self, now: Millis) -> Vec<UpstreamIx> {
        let mut forgotten = Vec::new();
        for ix in 0..u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX) {
            let up = UpstreamIx(ix);
            let upstream = &self.upstreams[ix as usize];
            let Some(last_seen) = upstream.last_seen else {
                continue;
            };
            let age = now.since(last_seen);
            if age > self.options.forget_after {
                self.forget(up);
                forgotten.push(up);
            } else if age > self.options.suspect_after && !upstream.suspect {
                self.update_upstream(up, |u| u.suspect = true);
            }
        }
        forgotten
    }

    /// Number of upstreams in a pool that may get work, suspect ones included.
    #[must_use]
    pub fn usable_count(&self, pool: PoolIx) -> usize {
        self.pools.get(pool.0 as usize).map_or(0, Pool::usable)
    }

    /// Usable upstreams of a pool that hold an adapter, load it or were just sent a request for it.
    #[must_use]
    pub fn holders(&self, pool: PoolIx, lora: LoraIx) -> &[UpstreamIx] {
        let pool = self.pools.get(pool.0 as usize);
        pool.map_or(&[], |p| p.holders.of(lora))
    }

    /// Upstreams preferred for one more copy of an adapter in a pool, best first.
    #[must_use]
    pub fn homes(&self, pool: PoolIx, lora: LoraIx) -> Vec<UpstreamIx> {
        let key = self.lora_key(lora);
        let pool = self.pools.get(pool.0 as usize);
        pool.map_or_else(Vec::new, |p| {
            p.homes(lora, key, self.options.home_candidates)
        })
    }

    fn lora_key(&self, lora: LoraIx) -> u64 {
        match self.lora_keys.get(lora.0 as usize) {
            Some(&key) if key != 0 => key,
            _ => index_key(lora.0),
        }
    }

    fn ensure_pool(&mut self, pool: PoolIx) {
        let index = pool.0 as usize;
        if index >= self.pools.len() {
            let points = self.options.ring_points;
            self.pools.resize_with(index + 1, || Pool::new(points));
        }
    }

    fn ensure_upstream(&mut self, up: UpstreamIx) {
        while self.upstreams.len() <= up.0 as usize {
            let next = u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX);
            self.upstreams.push(Upstream::new(UpstreamIx(next)));
        }
    }
}
