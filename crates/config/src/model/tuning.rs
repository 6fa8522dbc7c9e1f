//! Weights of the objectives, and request limits.

use serde::{Deserialize, Serialize};

/// Relative weights of the objectives, percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tuning {
    /// Weight of avoiding load stalls.
    pub stall: u32,
    /// Weight of full batches.
    pub batch: u32,
    /// Longest time that an idle engine is held for a fuller batch at full weight of
    /// `batch`, milliseconds.
    pub hold_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            stall: 50,
            batch: 50,
            hold_ms: 200,
        }
    }
}

/// Request limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Default request deadline, milliseconds.
    pub deadline_ms: u64,
    /// Longest deadline that a request may set, milliseconds.
    pub longest_ms: u64,
    /// Maximum request body size, bytes.
    pub body: u64,
    /// How long idempotency keys are remembered, seconds.
    pub window_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            deadline_ms: 30_000,
            longest_ms: 300_000,
            body: 1 << 20,
            window_s: 86_400,
        }
    }
}
