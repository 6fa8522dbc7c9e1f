//! Options of a load order.

use pumicecleat_types::Millis;

/// Options of a [`LoadOrder`](crate::LoadOrder).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOrderOptions {
    /// Time of a load at full speed, until some have been seen.
    pub load: Millis,
    /// Span after which a bid that wasn't repeated is dropped.
    pub fresh: Millis,
    /// Shortest span before a side bids again.
    pub shortest: Millis,
    /// Longest span before a side bids again.
    pub longest: Millis,
}

impl Default for LoadOrderOptions {
    fn default() -> Self {
        Self {
            load: Millis(500),
            fresh: Millis(1_000),
            shortest: Millis(5),
            longest: Millis(200),
        }
    }
}
