//! Reads arguments, runs, and prints what was found.

use std::process::ExitCode;

use pumicecleat_fuzz::{Args, run};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let summary = run(&args);
    println!("{summary}");
    if summary.findings.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
