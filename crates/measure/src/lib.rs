//! Measurements: the path, the policy, and the slopes behind docs/CAPACITY.md.
//!
//! Each measurement is a module and a subcommand; all print JSON lines.

pub mod path;
pub mod policy;
pub mod slopes;

mod args;
mod json;

pub use args::{Args, Command};
