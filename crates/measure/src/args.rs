//! Command line: one subcommand for each measurement.

use argh::FromArgs;

use crate::policy::PolicyArgs;

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
    /// The decisions under load and faults, in virtual time.
    Policy(PolicyArgs),
}

impl Command {
    /// Runs the measurement and prints its lines.
    pub fn run(&self) {
        match self {
            Self::Policy(args) => crate::policy::run(args),
        }
    }
}
