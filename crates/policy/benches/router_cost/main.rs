//! Cost of the router: time of a decision and of a report at four counts of upstreams and of
//! adapters, memory, and how well homes are spread and agreed on, compared with rendezvous hashing.
//!
//! Prints JSON lines. Exits with an error if a decision takes 5 microseconds or more, or if its
//! time grows as fast as the count of upstreams or adapters.

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
