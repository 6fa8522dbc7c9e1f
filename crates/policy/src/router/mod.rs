//! The entry's choice of upstream.
//!
//! [`Router`] keeps what an entry hears of upstreams as soft state: reports and ends of its own
//! attempts. It may be wrong for seconds; the side beside an upstream has the last word by
//! its refusal. A choice looks at a few candidates only: a sample of an adapter's holders, and its
//! homes on a hash ring. So its cost grows with neither the upstreams nor the adapters, but for the
//! depth of ordered sets.
//!
//! `ask` holds the question and the answer, `upstream` what is known of one upstream, `pool`, `ring`
//! and `holders` where candidates come from, `estimate` the expected wait, `choose` the choice, `pack`
//! the preference for upstreams with company, `demotion` the order of stalled upstreams, `place` keeps
//! the pools' indices, `outcome` what attempts teach, `prefix` affinity to cached prompts, `rank` homes
//! of other work, and `budget` the bound on retries.

mod ask;
mod budget;
mod choose;
mod demotion;
mod draw;
mod estimate;
mod holders;
mod key;
mod options;
mod outcome;
mod pack;
mod place;
mod pool;
mod prefix;
mod rank;
mod ring;
mod upstream;

pub use ask::{Ask, Choice, Outcome, Pick, UpstreamFigures};
pub use budget::{BudgetOptions, RetryBudget};
pub use key::{lora_key, name_key, part_key, upstream_key};
pub use options::RouterOptions;
pub use prefix::Prompt;

use pumicecleat_types::Millis;

use crate::{LoraIx, ObjectiveWeights, PoolIx, UpstreamIx};
use draw::Draw;
use key::index_key;
use pool::Pool;
use upstream::Upstream;

/// Choice of upstream for one entry.
#[derive(Clone, Debug)]
pub struct Router {
    options: RouterOptions,
    load: Millis,
    /// Time that an idle upstream costs more than one with company.
    pack: Millis,
    draw: Draw,
    upstreams: Vec<Upstream>,
    pools: Vec<Pool>,
    /// Keys of adapters by index; 0 where not named.
    loras: Vec<u64>,
}

impl Router {
    /// Router that knows no upstream yet.
    #[must_use]
    pub fn new_ext(options: RouterOptions) -> Self {
        Self {
            options,
            load: options.load,
            pack: Millis(0),
            draw: Draw::new(options.seed),
            upstreams: Vec::new(),
            pools: Vec::new(),
            loras: Vec::new(),
        }
    }

    /// Gives an upstream its key, see [`upstream_key`]; without one, entries don't agree on homes.
    pub fn name_upstream(&mut self, up: UpstreamIx, key: u64) {
        self.upstream(up);
        self.change(up, |u| u.key = key);
    }

    /// Gives an adapter its key, see [`lora_key`]; without one, entries don't agree on its homes.
    pub fn name_lora(&mut self, lora: LoraIx, key: u64) {
        let at = lora.0 as usize;
        if at >= self.loras.len() {
            self.loras.resize(at + 1, 0);
        }
        self.loras[at] = key;
    }

    /// Sets the time that a load is expected to take now.
    pub fn set_load(&mut self, load: Millis) {
        self.load = load;
    }

    /// Sets the deployment's weights; full batches weigh nothing until then.
    pub fn set_weights(&mut self, weights: ObjectiveWeights) {
        self.pack = weights.scale_by_batch(self.options.pack);
    }

    /// Takes in a report; `resident` is `None` if unchanged.
    pub fn report(
        &mut self,
        up: UpstreamIx,
        pool: PoolIx,
        figures: &UpstreamFigures,
        resident: Option<&[LoraIx]>,
        loading: Option<LoraIx>,
        now: Millis,
    ) {
        let lag = self.options.lag;
        let late = lag + self.load + self.load;
        self.pool(pool);
        self.upstream(up);
        self.change(up, |u| {
            u.pool = pool;
            u.load = figures.load;
            u.usable = figures.healthy && !figures.leaving;
            u.suspect = false;
            u.seen = Some(now);
            if let Some(loras) = resident {
                u.set_resident(loras);
            }
            u.set_loading(loading, now);
            u.settle(now, lag);
            u.settle_coming(now, late);
        });
    }

    /// Gives an upstream no new work from now on, whatever its reports say, until it is forgotten.
    pub fn leaving(&mut self, up: UpstreamIx) {
        self.upstream(up);
        self.change(up, |u| u.leaving = true);
    }

    /// Forgets an upstream; its index may be used for another.
    pub fn forget(&mut self, up: UpstreamIx) {
        if self.upstreams.get(up.0 as usize).is_some() {
            self.change(up, |u| *u = Upstream::new(up));
        }
    }

    /// Moves upstreams that have been silent behind the others, and forgets them later.
    ///
    /// Returns those forgotten.
    pub fn expire(&mut self, now: Millis) -> Vec<UpstreamIx> {
        let mut forgotten = Vec::new();
        for ix in 0..u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX) {
            let up = UpstreamIx(ix);
            let upstream = &self.upstreams[ix as usize];
            let Some(seen) = upstream.seen else {
                continue;
            };
            let age = now.since(seen);
            if age > self.options.forget {
                self.forget(up);
                forgotten.push(up);
            } else if age > self.options.suspect && !upstream.suspect {
                self.change(up, |u| u.suspect = true);
            }
        }
        forgotten
    }

    /// Upstreams of a pool that may get work, suspect ones included.
    #[must_use]
    pub fn usable(&self, pool: PoolIx) -> usize {
        self.pools.get(pool.0 as usize).map_or(0, Pool::usable)
    }

    /// Usable upstreams of a pool that hold an adapter, load it or were just sent a request for it.
    #[must_use]
    pub fn holders(&self, pool: PoolIx, lora: LoraIx) -> &[UpstreamIx] {
        let pool = self.pools.get(pool.0 as usize);
        pool.map_or(&[], |p| p.holders.of(lora))
    }

    /// Homes for one more copy of an adapter in a pool, the first one best.
    #[must_use]
    pub fn homes(&self, pool: PoolIx, lora: LoraIx) -> Vec<UpstreamIx> {
        let key = self.lora_key(lora);
        let pool = self.pools.get(pool.0 as usize);
        pool.map_or_else(Vec::new, |p| p.homes(lora, key, self.options.homes))
    }

    fn lora_key(&self, lora: LoraIx) -> u64 {
        match self.loras.get(lora.0 as usize) {
            Some(&key) if key != 0 => key,
            _ => index_key(lora.0),
        }
    }

    fn pool(&mut self, pool: PoolIx) {
        let at = pool.0 as usize;
        if at >= self.pools.len() {
            let points = self.options.points;
            self.pools.resize_with(at + 1, || Pool::new(points));
        }
    }

    fn upstream(&mut self, up: UpstreamIx) {
        while self.upstreams.len() <= up.0 as usize {
            let next = u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX);
            self.upstreams.push(Upstream::new(UpstreamIx(next)));
        }
    }
}
