//! Command line.

use argh::FromArgs;

/// Fuzzing of pumicecleat's parsers, with inputs that a seed makes.
#[derive(FromArgs, Clone, Debug)]
pub struct Args {
    /// inputs over all targets
    #[argh(option, default = "1_000_000")]
    pub inputs: u64,

    /// seed of all inputs
    #[argh(option, default = "1")]
    pub seed: u64,

    /// name of the only target to run
    #[argh(option)]
    pub target: Option<String>,

    /// number of the only input to run, of the target named
    #[argh(option)]
    pub only: Option<u64>,
}
