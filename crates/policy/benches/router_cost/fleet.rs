//! A router that knows a fleet, and a seeded trace of skewed asks.

use pumicecleat_policy::{LoraIx, PoolIx, Router, RouterOptions, UpstreamIx, UpstreamStatus};
use pumicecleat_types::{LoadFigures, Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Pool of the whole fleet: the worst case, as pools split it.
pub const POOL: PoolIx = PoolIx(0);

/// Adapter slots of an engine.
pub const SLOTS: u32 = 8;

/// Skew of the popularity.
const SKEW: f64 = 1.0;

/// Counts of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub upstreams: u32,
    pub loras: u32,
}

/// Draws adapters, the first the most popular.
pub struct Popularity {
    sums: Vec<f64>,
}

impl Popularity {
    pub fn new(loras: u32) -> Self {
        let mut sum = 0.0;
        let weights = (1..=loras).map(|rank| f64::from(rank).powf(-SKEW));
        let sums = weights.map(|w| {
            sum += w;
            sum
        });
        Self {
            sums: sums.collect(),
        }
    }

    pub fn draw(&self, rng: &mut ChaCha8Rng) -> LoraIx {
        let total = self.sums.last().copied().unwrap_or(0.0);
        let at = rng.random_range(0.0..total);
        let rank = self.sums.partition_point(|&s| s <= at);
        LoraIx(u32::try_from(rank).expect("fits"))
    }
}

/// Seeded generator.
pub fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Figures of a half busy engine.
pub fn figures(rng: &mut ChaCha8Rng) -> UpstreamStatus {
    let load = LoadFigures {
        running: rng.random_range(0..8),
        waiting: 0,
        batch: 8,
        slots: SLOTS,
        spare: rng.random_range(0..4),
        step_us: rng.random_range(10_000..20_000),
        wait_ms: rng.random_range(0..50),
    };
    UpstreamStatus {
        load,
        leaving: false,
        healthy: true,
    }
}

/// Adapters resident at one engine: drawn by popularity.
pub fn resident(popularity: &Popularity, rng: &mut ChaCha8Rng) -> Vec<LoraIx> {
    (0..SLOTS).map(|_| popularity.draw(rng)).collect()
}

/// Router with every upstream of `size` reported.
pub fn router(size: Size, options: RouterOptions) -> Router {
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
