//! `slopes`: how state, messages and processor time grow, at four sizes or more each.
//!
//! The figures of docs/CAPACITY.md are worked out from these lines. The code measured is the
//! libraries' own. Processor time is the thread's, so that other work on the machine disturbs it
//! less than it would wall time; a cost is the median of nine batches, printed with the least and
//! the most. Memory is the growth of the process's resident pages over four copies.
//!
//! `report`, `vms`, `config`, `keys` (with `split`) and `order` measure one part each, and `idle` a whole entry
//! that only hears reports; `change` follows changes from the log to the sides of a region. `fleet`
//! and `world` make names, messages and processes of the size to come, `clock` and `memory`
//! measure, and `line` prints and fits.

mod args;
mod change;
mod clock;
mod config;
mod fleet;
mod idle;
mod keys;
mod line;
mod memory;
mod order;
mod report;
mod split;
mod vms;
mod world;

pub use args::{Part, Parts, SlopesArgs};

/// Runs the parts asked for and prints their lines.
pub fn run(args: &SlopesArgs) {
    for part in &args.parts.0 {
        match part {
            Part::Change => change::run(args),
            Part::Config => config::run(),
            Part::Idle => idle::run(args),
            Part::Keys => {
                // Kept, as memory that is freed would be reused.
                let kept = split::run();
                keys::run();
                drop(kept);
            }
            Part::Order => order::run(),
            Part::Report => report::run(),
            Part::Vms => vms::run(),
        }
    }
}
