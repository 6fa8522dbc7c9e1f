//! Options of the engine.

use std::net::SocketAddr;

/// Options of the engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name of the base model.
    pub base: String,
    /// `LoRAs` resident at once.
    pub slots: usize,
    /// Requests in a step.
    pub batch: usize,
    /// Time of a step, milliseconds.
    pub step_ms: u64,
    /// Time of a slow step, milliseconds.
    pub slow_ms: u64,
    /// Chance of a slow step.
    pub slow_chance: f64,
    /// Seed of the slow steps.
    pub seed: u64,
    /// Address of the weight store; without one every load succeeds at once.
    pub store: Option<String>,
    /// Refuse orders with an old fencing number.
    pub check_fencing: bool,
    /// Age of the load figures shown, milliseconds.
    pub metrics_lag_ms: u64,
    /// Words of prompts that the prefix cache holds.
    pub cache: u64,
    /// Time to read a word of a prompt that is not cached, microseconds.
    pub prefill_us: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: crate::ANY_PORT,
            base: "base".into(),
            slots: 4,
            batch: 32,
            step_ms: 10,
            slow_ms: 20,
            slow_chance: 0.0,
            seed: 1,
            store: None,
            check_fencing: true,
            metrics_lag_ms: 0,
            cache: 1_000_000,
            prefill_us: 0,
        }
    }
}
