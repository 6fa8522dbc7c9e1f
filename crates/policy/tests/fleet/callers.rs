//! Callers in the simulation: their requests and the outcomes.

use pumicecleat_types::TurnRefusal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Workload of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Number of adapters. The n-th is requested n to the power of `zipf_exponent` times less often than the
    /// first.
    pub adapters: usize,
    /// Skew of the popularity of adapters.
    pub zipf_exponent: f64,
    /// Mean prompt, tokens; sizes range from a fifth of it to five times as much.
    pub mean_prompt_tokens: f64,
    /// Mean number of events of an answer, with the same range.
    pub mean_events: f64,
    /// Target time to the first event, ms.
    pub objective_ms: u64,
    /// Time during which requests arrive, ms.
    pub duration_ms: u64,
    /// Priorities, assigned to the requests in rotation.
    pub priorities: &'static [u8],
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub arrived_at: u64,
    pub adapter: String,
    pub prompt_tokens: u32,
    pub events: u64,
    pub priority: u8,
    pub account: Option<String>,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When it arrived, ms.
    pub arrived_at: u64,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Priority.
    pub priority: u8,
    /// Client account.
    pub account: Option<String>,
    /// Time to the first event, ms; `None` if it was finally refused.
    pub first_event_ms: Option<u64>,
    /// Times at which engines refused it, ms, with the reasons.
    pub refusals: Vec<(u64, TurnRefusal)>,
}

impl Workload {
    /// Generates the requests of all callers in the order of their arrival.
    pub fn generate(&self, seed: u64) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let weights: Vec<f64> = (1..=self.adapters)
            .map(|n| (n as f64).powf(-self.zipf_exponent))
            .collect();
        let sum: f64 = weights.iter().sum();
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / self.requests_per_second;
            if at as u64 >= self.duration_ms {
                return requests;
            }
            let mut remaining = rng.random::<f64>() * sum;
            let adapter = weights.iter().position(|w| {
                remaining -= w;
                remaining <= 0.0
            });
            requests.push(Request {
                id: format!("r{}", requests.len()),
                arrived_at: at as u64,
                adapter: format!("a{}", adapter.unwrap_or_default()),
                prompt_tokens: random_size(self.mean_prompt_tokens, &mut rng) as u32,
                events: random_size(self.mean_events, &mut rng).max(1.0) as u64,
                priority: self.priorities[requests.len() % self.priorities.len()],
                account: None,
            });
        }
    }
}

/// Merges the requests of several accounts, each with its own workload, in the order of their arrival.
pub fn merge(accounts: &[(&str, Workload)], seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for (n, (account, workload)) in accounts.iter().enumerate() {
        let own = workload.generate(seed * 1_000 + n as u64);
        requests.extend(own.into_iter().map(|request| Request {
            account: Some((*account).to_owned()),
            ..request
        }));
    }
    requests.sort_by_key(|r| r.arrived_at);
    for (n, request) in requests.iter_mut().enumerate() {
        request.id = format!("r{n}");
    }
    requests
}

/// A random size between a fifth of `mean` and five times as much, with approximately that mean.
fn random_size(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    let exponent = rng.random::<f64>() * 2.0 - 1.0;
    mean * 0.67 * 5.0_f64.powf(exponent)
}
