//! A router that knows a fleet, and seeded adapters drawn by a skewed popularity.

use pumicecleat_policy::{LoraIx, PoolIx, Router, RouterOptions, UpstreamIx, UpstreamStatus};
use pumicecleat_types::{LoadFigures, Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One pool with the whole fleet, which is the worst case: several pools would split it.
pub const POOL: PoolIx = PoolIx(0);

/// Adapter slots of an engine.
pub const SLOTS: u32 = 8;

/// Exponent of the popularity distribution.
const ZIPF_EXPONENT: f64 = 1.0;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub upstreams: u32,
    pub loras: u32,
}

/// Zipf distribution of adapters; the first one is the most popular.
pub struct Popularity {
    cumulative: Vec<f64>,
}

impl Popularity {
    pub fn new(loras: u32) -> Self {
        let mut sum = 0.0;
        let weights = (1..=loras).map(|rank| f64::from(rank).powf(-ZIPF_EXPONENT));
        let cumulative = weights.map(|w| {
            sum += w;
            sum
        });
        Self {
            cumulative: cumulative.collect(),
        }
    }

    pub fn draw(&self, rng: &mut ChaCha8Rng) -> LoraIx {
        let total = self.cumulative.last().copied().unwrap_or(0.0);
        let at = rng.random_range(0.0..total);
        let rank = self.cumulative.partition_point(|&s| s <= at);
        LoraIx(u32::try_from(rank).expect("fits"))
    }
}

pub fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Random status of a partly loaded engine.
pub fn figures(rng: &mut ChaCha8Rng) -> UpstreamStatus {
    let load = LoadFigures {
        running: rng.random_range(0..8),
        waiting: 0,
        max_batch_size: 8,
        slots: SLOTS,
        spare_slots: rng.random_range(0..4),
        step_us: rng.random_range(10_000..20_000),
        wait_ms: rng.random_range(0..50),
    };
    UpstreamStatus {
        load,
        leaving: false,
        healthy: true,
    }
}

/// Random adapters resident at one engine, by popularity.
pub fn resident(popularity: &Popularity, rng: &mut ChaCha8Rng) -> Vec<LoraIx> {
    (0..SLOTS).map(|_| popularity.draw(rng)).collect()
}

/// Router that has a report of every upstream in a fleet of this size.
pub fn router(size: FleetSize, options: RouterOptions) -> Router {
    let mut rng = rng(1);
    let popularity = Popularity::new(size.loras);
    let mut router = Router::new_ext(options);
    for up in (0..size.upstreams).map(UpstreamIx) {
        let loras = resident(&popularity, &mut rng);
        let figures = figures(&mut rng);
        router.report(up, POOL, &figures, Some(&loras), None, Millis(0));
    }
    router
}
