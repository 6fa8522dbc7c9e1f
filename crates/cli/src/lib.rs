//! The operators' command line.
//!
//! [`Args`] is what `argh` reads; [`run_command`] carries it out and gives the exit status.
//! Exit statuses: 0 done, 1 could not be done now, 2 wrong input, 3 refused by the log's order.
//!
//! ```
//! use argh::FromArgs;
//! use pumicecleat_cli::{Args, run_command};
//!
//! let args = Args::from_args(&["pumicecleat"], &["check", "no-such-file.toml"]).unwrap();
//! assert_eq!(run_command(args), 2);
//! ```

mod apply;
mod args;
mod demo;
mod error;
mod exchange;
mod files;
mod line;
mod losses;
mod reader;
mod show;
mod trail;

pub use args::Args;
pub use losses::LossReport;
pub use trail::{Step, gather};

use args::Command;
use error::CliError;
use pumicecleat_net::run;
use snafu::ResultExt;

/// Carries out a command and gives the exit status.
#[must_use]
pub fn run_command(args: Args) -> u8 {
    match carry_out(args.command) {
        Ok(()) => 0,
        Err(e) => {
            eprintln!("{e}");
            e.status()
        }
    }
}

fn carry_out(command: Command) -> Result<(), CliError> {
    match command {
        Command::Check(args) => files::check(&args.files),
        Command::Key(args) => {
            println!("{}", pumicecleat_config::hash_key(&args.bearer));
            Ok(())
        }
        Command::Diff(args) => on_loop(show::diff(args)),
        Command::Apply(args) => on_loop(apply::apply(args)),
        Command::Status(args) => on_loop(show::status(args)),
        Command::Dump(args) => on_loop(show::dump(args)),
        Command::Trail(args) => trail::trail(&args),
        Command::Losses(args) => losses::losses(&args),
        Command::Demo(args) => on_loop(demo::demo(args)),
    }
}

fn on_loop(work: impl Future<Output = Result<(), CliError>>) -> Result<(), CliError> {
    run(work).context(error::LoopSnafu)?
}
