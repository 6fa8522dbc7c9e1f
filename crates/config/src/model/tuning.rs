//! Weights of the measures, and limits of requests.

use serde::{Deserialize, Serialize};

/// What the deployment weighs, in percent of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tuning {
    /// Weight of load stalls.
    pub stall: u32,
    /// Weight of full batches.
    pub batch: u32,
    /// Longest time that an idle engine is held for a fuller batch, milliseconds, at full weight of
    /// batches.
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

/// Limits of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Deadline of a request that names none, milliseconds.
    pub deadline_ms: u64,
    /// Longest deadline a request may name, milliseconds.
    pub longest_ms: u64,
    /// Longest body of a request, bytes.
    pub body: u64,
    /// How long keys of calls that may not be repeated are remembered, seconds.
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
