//! The decisions: choice of upstream, residency, load order, queueing and shares.
//!
//! Pure, synchronous code: time and randomness are passed in. The daemons and the measurements
//! drive the same code.

mod index;
mod load_order;
mod router;
mod scheduler;

pub use index::{CallerIx, LoraIx, PoolIx, UpstreamIx};
pub use router::{
    Ask, BudgetOptions, Choice, Outcome, Pick, RetryBudget, Router, RouterOptions, UpstreamFigures,
    lora_key, upstream_key,
};
