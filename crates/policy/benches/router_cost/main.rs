//! Cost of the router: time of a choice and of a report at four sizes of each count, memory, and how
//! well homes are spread and agreed on, beside the ways that were weighed.
//!
//! Prints JSON lines. Ends with an error if a choice takes 5 microseconds or more, or if its cost
//! grows as fast as a count.

mod clock;
mod cost;
mod fleet;
mod groups;
mod homes;
mod memory;

use std::process::ExitCode;

fn main() -> ExitCode {
    memory::run();
    let in_bounds = cost::run();
    homes::run();
    if in_bounds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
