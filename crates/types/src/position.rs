//! Places in a log that may come back from an older copy.

use serde::{Deserialize, Serialize};

/// Place in a stream. A log that comes back from an older copy gives offsets out again, in the next era:
/// any place of it is behind all those of the era before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the log has come back from a copy; 0 if it does not tell.
    pub era: u64,
    /// Offset in that era.
    pub offset: u64,
}

impl Position {
    /// Place of a log that does not tell its era.
    #[must_use]
    pub fn at(offset: u64) -> Self {
        Self { era: 0, offset }
    }
}
