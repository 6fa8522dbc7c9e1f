//! A row of the catalogue.

use crate::Level;

/// Kind of event, with its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number, such as `E1001`; never used again for another kind.
    pub code: &'static str,
    /// Name, in words joined by underscores.
    pub name: &'static str,
    /// Level.
    pub level: Level,
    /// Names of the fields it may carry.
    pub fields: &'static [&'static str],
}

/// Declares the rows of one range and the list of them.
macro_rules! rows {
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

        pub(super) static ROWS: &[&Event] = &[$(&$id),*];
    };
}

pub(super) use rows;
