//! The catalogue: every event of every program, one file per range of numbers.
//!
//! `docs/EVENTS.md` explains each row to operators; a test keeps both equal.

mod command;
mod common;
mod deployment;
mod entry;
mod platform;
mod side;
mod standin;

pub use command::*;
pub use common::*;
pub use deployment::*;
pub use entry::*;
pub use platform::*;
pub use side::*;
pub use standin::*;

use super::Event;

/// Every row, by number.
pub fn all() -> impl Iterator<Item = &'static Event> {
    let ranges = [
        common::ROWS,
        entry::ROWS,
        side::ROWS,
        standin::ROWS,
        command::ROWS,
        platform::ROWS,
        deployment::ROWS,
    ];
    ranges.into_iter().flatten().copied()
}
