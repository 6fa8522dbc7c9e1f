//! Mutated and random inputs for every parser that meets outside bytes.
//!
//! A [`Target`] is one parser with what must hold of it for any input. [`run`] draws inputs from a
//! seed, gives each target its share, and reports panics and broken invariants with the seed and
//! the number of the input, which make the same input again.

mod args;
mod mutate;
mod run;
mod targets;

pub use args::Args;
pub use mutate::draw;
pub use run::{Finding, Summary, TargetSummary, run, run_on};
pub use targets::{Broken, Target, all};
