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

pub use callers::{Outcome, Workload};
pub use engine::EngineSpec;
pub use play::{Fleet, simulate};

/// Time step of the simulation, ms.
pub const STEP_MS: u64 = 5;
