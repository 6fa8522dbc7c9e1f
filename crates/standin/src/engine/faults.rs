//! Faults of the engine.

use serde::{Deserialize, Serialize};

/// Faults of the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Requests are taken but not answered and no step runs, until this is lifted.
    pub freeze: bool,
    /// Closes one connection, the first whose request reaches so many tokens.
    pub die_after_tokens: Option<u64>,
    /// Drops all `LoRAs` and requests once, when set.
    pub restart: bool,
    /// Time that a restart takes, milliseconds.
    pub cold_ms: u64,
    /// Loads to come that end in 500.
    pub fail_loads: u64,
    /// Loads to come that answer 200 with nothing resident.
    pub lie_loads: u64,
    /// Answers to come that carry another model's name and text.
    pub wrong_model: u64,
    /// Pairs of answers to come that are swapped.
    pub cross: u64,
    /// Answers to come that are cut: before their length, or a stream without `[DONE]`.
    pub truncate: u64,
    /// Steps take this many times as long.
    pub slow_factor: f64,
    /// Chat requests to come that are refused with 503.
    pub refuse: u64,
    /// Delay of each chat answer's start, milliseconds.
    pub late_ms: u64,
    /// Answers tell nothing of cached tokens.
    pub hide_cached: bool,
    /// Answers tell of so many cached tokens, whatever is true.
    pub false_cached: Option<i64>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            freeze: false,
            die_after_tokens: None,
            restart: false,
            cold_ms: 1000,
            fail_loads: 0,
            lie_loads: 0,
            wrong_model: 0,
            cross: 0,
            truncate: 0,
            slow_factor: 1.0,
            refuse: 0,
            late_ms: 0,
            hide_cached: false,
            false_cached: None,
        }
    }
}
