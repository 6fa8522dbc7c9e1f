//! Reads arguments and calls the library.

use pumicecleat_measure::Args;

fn main() {
    let args: Args = argh::from_env();
    args.command.run();
}
