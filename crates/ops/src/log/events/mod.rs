//! Log events of all programs, one file for each range of numbers.
//!
//! `docs/EVENTS.md` describes each event to operators; a test checks that both list the same events.

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

/// All events, in order of their numbers.
pub fn all() -> impl Iterator<Item = &'static Event> {
    let ranges = [
        common::EVENTS,
        entry::EVENTS,
        side::EVENTS,
        standin::EVENTS,
        command::EVENTS,
        platform::EVENTS,
        deployment::EVENTS,
    ];
    ranges.into_iter().flatten().copied()
}
