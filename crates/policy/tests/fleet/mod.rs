//! Simulation of a small fleet in steps of 5 ms: engines with their agents, one gateway and its callers. The
//! decisions are those of the real code. Time is passed in and randomness is seeded, so that a run is
//! reproducible.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the simulation uses small numbers"
)]
#![allow(dead_code, reason = "each suite uses a part")]

mod callers;
mod engine;
mod play;

#[allow(unused_imports, reason = "each suite uses a part")]
pub use callers::{Outcome, Workload, merge};
pub use engine::EngineSpec;
#[allow(unused_imports, reason = "each suite uses a part")]
pub use play::{Fleet, simulate, simulate_requests};

/// Time step of the simulation, ms.
pub const STEP_MS: u64 = 5;
