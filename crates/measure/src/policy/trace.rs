//! Seeded traces of requests: Zipf popularity that drifts, and shifts on request.

use pumicecleat_policy::{CallerIx, LoraIx};
use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::shape::Shape;
use super::talk::{self, Talk};

/// Part of adapters that wake up or fall idle within an hour.
const DRIFT: f64 = 0.36;

/// Span between two drifts.
const DRIFT_SPAN: Millis = Millis(10_000);

/// Ranks from the top that a shift hands to other adapters.
const SHIFTED: usize = 200;

/// Rate of the flood, as a multiple of the shape's rate.
const FLOOD: f64 = 12.0;

/// Adapters that the flooding caller uses.
const FLOOD_LORAS: u32 = 3;

/// Caller that floods.
pub(super) const FLOODER: CallerIx = CallerIx(0);

/// What a trace is drawn by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) seed: u64,
    pub(super) seconds: u64,
    pub(super) zipf: f64,
    pub(super) shift: bool,
    pub(super) flood: bool,
}

/// A request of the trace.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    pub(super) at: Millis,
    pub(super) lora: LoraIx,
    /// Rank of the adapter's popularity, the most popular first; unknown to the policies.
    pub(super) rank: usize,
    pub(super) caller: CallerIx,
    /// Tokens the answer will have, unknown to the policies.
    pub(super) tokens: u32,
    /// Tokens it may have, as the request says.
    pub(super) limit: u32,
    /// Its prompt, where prompts are modelled.
    pub(super) talk: Talk,
}

/// Requests in order of time.
#[derive(Clone, Debug)]
pub(super) struct Trace {
    pub(super) load: Load,
    pub(super) asks: Vec<Ask>,
    pub(super) end: Millis,
    /// When popularity shifts, or the run's middle.
    pub(super) middle: Millis,
    /// Middle third of the run, for floods and faults.
    pub(super) third: (Millis, Millis),
}

impl Trace {
    pub(super) fn draw(shape: &Shape, load: &Load) -> Self {
        let end = Millis(load.seconds * 1_000);
        let mut trace = Self {
            load: *load,
            asks: Vec::new(),
            end,
            middle: Millis(end.0 / 2),
            third: (Millis(end.0 / 3), Millis(end.0 * 2 / 3)),
        };
        trace.draw_usual(shape);
        if load.flood {
            trace.draw_flood(shape);
        }
        trace.asks.sort_by_key(|a| a.at);
        if shape.prefix.is_some() {
            talk::draw(&mut trace.asks, load.seed);
        }
        trace
    }

    fn draw_usual(&mut self, shape: &Shape) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.load.seed);
        let mut ranks = Ranks::draw(shape, self.load.zipf, &mut rng);
        let mut at = Millis(0);
        let mut drift = DRIFT_SPAN;
        let mut shift = self.load.shift.then_some(self.middle);
        while at < self.end {
            at = at + gap(shape.rate, &mut rng);
            while drift <= at {
                ranks.drift(&mut rng);
                drift = drift + DRIFT_SPAN;
            }
            if shift.is_some_and(|s| s <= at) {
                ranks.shift(&mut rng);
                shift = None;
            }
            let rank = ranks.pick(&mut rng);
            let lora = ranks.loras[rank];
            self.asks.push(ask(shape, at, (lora, rank), &mut rng));
        }
    }

    fn draw_flood(&mut self, shape: &Shape) {
        let mut rng = ChaCha8Rng::seed_from_u64(!self.load.seed);
        let mut at = self.third.0;
        while at < self.third.1 {
            at = at + gap(shape.rate * FLOOD, &mut rng);
            let nth = rng.random_range(0..FLOOD_LORAS);
            let lora = LoraIx(FLOODER.0 + nth * shape.callers);
            self.asks.push(ask(shape, at, (lora, 0), &mut rng));
        }
    }
}

fn ask(shape: &Shape, at: Millis, (lora, rank): (LoraIx, usize), rng: &mut ChaCha8Rng) -> Ask {
    let limit = shape.limit;
    Ask {
        at,
        lora,
        rank,
        caller: CallerIx(lora.0 % shape.callers),
        tokens: rng.random_range(limit / 10..=limit * 9 / 10),
        limit,
        talk: Talk::default(),
    }
}

/// Exponential gap between arrivals.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "gaps are short and not negative"
)]
fn gap(rate: f64, rng: &mut ChaCha8Rng) -> Millis {
    let u: f64 = rng.random();
    let secs = -(1.0 - u).ln() / rate;
    Millis((secs * 1_000.0).round() as u64)
}

/// Adapters by popularity.
struct Ranks {
    /// Sums of the weights up to each rank.
    sums: Vec<f64>,
    loras: Vec<LoraIx>,
}

impl Ranks {
    fn draw(shape: &Shape, zipf: f64, rng: &mut ChaCha8Rng) -> Self {
        let weights = (1..=shape.adapters).map(|rank| f64::from(rank).powf(-zipf));
        let sums = weights.scan(0.0, |sum, w| {
            *sum += w;
            Some(*sum)
        });
        let sums = sums.collect();
        let mut ranks = Self {
            sums,
            loras: (0..shape.adapters).map(LoraIx).collect(),
        };
        for n in (1..ranks.loras.len()).rev() {
            ranks.loras.swap(n, rng.random_range(0..=n));
        }
        ranks
    }

    /// Rank drawn by its weight.
    fn pick(&self, rng: &mut ChaCha8Rng) -> usize {
        let all = self.sums[self.sums.len() - 1];
        let at = rng.random::<f64>() * all;
        let rank = self.sums.partition_point(|s| *s <= at);
        rank.min(self.loras.len() - 1)
    }

    /// Some adapters trade places: one wakes up as another falls idle.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a part of the adapters"
    )]
    fn drift(&mut self, rng: &mut ChaCha8Rng) {
        let count = self.loras.len() as f64;
        let moved = count * DRIFT * DRIFT_SPAN.as_secs() / 3_600.0;
        for _ in 0..(moved / 2.0).round() as usize {
            let (a, b) = self.two(rng);
            self.loras.swap(a, b);
        }
    }

    fn shift(&mut self, rng: &mut ChaCha8Rng) {
        for top in 0..SHIFTED.min(self.loras.len()) {
            let other = rng.random_range(0..self.loras.len());
            self.loras.swap(top, other);
        }
    }

    fn two(&self, rng: &mut ChaCha8Rng) -> (usize, usize) {
        let count = self.loras.len();
        (rng.random_range(0..count), rng.random_range(0..count))
    }
}
