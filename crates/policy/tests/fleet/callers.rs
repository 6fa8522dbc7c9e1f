//! Callers of the model: what they ask, and what becomes of it.

use pumicecleat_types::TurnRefusal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What is asked of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Requests in a second.
    pub rate: f64,
    /// Adapters; the n-th is asked for as often as the first by n to the power of `skew`.
    pub adapters: usize,
    /// Skew of their popularity.
    pub skew: f64,
    /// Mean prompt, tokens; sizes spread from a fifth of it to five times as much.
    pub tokens: f64,
    /// Mean events of an answer, spread likewise.
    pub events: f64,
    /// Time within which a first event is wanted, ms.
    pub objective: u64,
    /// Time for which callers come, ms.
    pub span: u64,
    /// Ranks of the requests, in turn.
    pub ranks: &'static [u8],
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub at: u64,
    pub adapter: String,
    pub tokens: u32,
    pub events: u64,
    pub rank: u8,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When it was first asked, ms.
    pub at: u64,
    /// Its prompt.
    pub tokens: u32,
    /// Its rank.
    pub rank: u8,
    /// Time to its first event, ms; `None` if it was refused for good.
    pub first: Option<u64>,
    /// When engines refused it, ms, and why.
    pub refusals: Vec<(u64, TurnRefusal)>,
}

impl Demand {
    /// Requests of all callers, by time.
    pub fn draw(&self, seed: u64) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let weights: Vec<f64> = (1..=self.adapters)
            .map(|n| (n as f64).powf(-self.skew))
            .collect();
        let sum: f64 = weights.iter().sum();
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / self.rate;
            if at as u64 >= self.span {
                return requests;
            }
            let mut roll = rng.random::<f64>() * sum;
            let adapter = weights.iter().position(|w| {
                roll -= w;
                roll <= 0.0
            });
            requests.push(Request {
                id: format!("r{}", requests.len()),
                at: at as u64,
                adapter: format!("a{}", adapter.unwrap_or_default()),
                tokens: spread(self.tokens, &mut rng) as u32,
                events: spread(self.events, &mut rng).max(1.0) as u64,
                rank: self.ranks[requests.len() % self.ranks.len()],
            });
        }
    }
}

/// A size between a fifth of `mean` and five times as much, of about that mean.
fn spread(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    let power = rng.random::<f64>() * 2.0 - 1.0;
    mean * 0.67 * 5.0_f64.powf(power)
}
