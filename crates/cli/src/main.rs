//! Reads arguments and calls the library.

use std::process::ExitCode;

use pumicecleat_cli::{Args, run_command};

fn main() -> ExitCode {
    ExitCode::from(run_command(argh::from_env::<Args>()))
}
