//! Options of a load order.

use pumicecleat_types::Millis;

/// Options of a [`LoadOrder`](crate::LoadOrder).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOrderOptions {
    /// Time of a load at full speed, until some have been seen.
    pub load: Millis,
    /// Span after which a bid that was due again is dropped.
    pub fresh: Millis,
    /// Shortest span before a side bids again.
    pub shortest: Millis,
    /// Longest span before the side that is next bids again.
    pub longest: Millis,
    /// Longest span added for the loads that go before.
    pub queue: Millis,
}

impl Default for LoadOrderOptions {
    fn default() -> Self {
        Self {
            load: Millis(500),
            fresh: Millis(1_000),
            shortest: Millis(5),
            longest: Millis(200),
            queue: Millis(50_000),
        }
    }
}
