//! Positions in a log that may be restored from an older copy.

use serde::{Deserialize, Serialize};

/// Position in a stream. A log that is restored from an older copy assigns some offsets again, so it
/// then starts the next era: every position of an era is greater than all those of earlier eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of times the log was restored from a copy; 0 if the log does not report it.
    pub era: u64,
    /// Offset within the era.
    pub offset: u64,
}

impl Position {
    /// Position in a log that does not report its era.
    #[must_use]
    pub fn at(offset: u64) -> Self {
        Self { era: 0, offset }
    }
}
