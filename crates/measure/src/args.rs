//! Command line: one subcommand for each measurement.

use argh::FromArgs;

use crate::path::PathArgs;
use crate::policy::PolicyArgs;
use crate::slopes::SlopesArgs;

/// Measurements of pumicecleat, as JSON lines.
#[derive(FromArgs, Debug)]
pub struct Args {
    /// what to measure
    #[argh(subcommand)]
    pub command: Command,
}

/// Measurement.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Streams direct to an engine, and through entry and side.
    Path(PathArgs),
    /// The decisions under load and faults, in virtual time.
    Policy(PolicyArgs),
    /// How state, messages and processor time grow.
    Slopes(SlopesArgs),
}

impl Command {
    /// Runs the measurement and prints its lines.
    pub fn run(&self) {
        match self {
            Self::Path(args) => crate::path::run(args),
            Self::Policy(args) => crate::policy::run(args),
            Self::Slopes(args) => crate::slopes::run(args),
        }
    }
}
