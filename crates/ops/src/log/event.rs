//! The definition of a log event.

use crate::Level;

/// Kind of log event, with its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number, such as `E1001`. The number of a removed event is never reused.
    pub code: &'static str,
    /// Name in snake case.
    pub name: &'static str,
    /// Level at which the event is logged.
    pub level: Level,
    /// Names of the fields that the event may have.
    pub fields: &'static [&'static str],
}

/// Declares the events of one range of numbers, and a list of them.
macro_rules! events {
    ($($(#[$doc:meta])* $id:ident = $code:literal $name:literal $level:ident [$($field:literal),*];)*) => {
        $(
            $(#[$doc])*
            pub static $id: Event = Event {
                code: $code,
                name: $name,
                level: Level::$level,
                fields: &[$($field),*],
            };
        )*

        pub(super) static EVENTS: &[&Event] = &[$(&$id),*];
    };
}

pub(super) use events;
