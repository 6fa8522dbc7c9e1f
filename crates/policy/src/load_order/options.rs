//! Options of a load order.

use pumicecleat_types::Millis;

/// Options of a [`LoadOrder`](crate::LoadOrder).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOrderOptions {
    /// Time of a load at full speed, until some have been seen.
    pub initial_load_time: Millis,
    /// Span after which a bid that was due again is dropped.
    pub bid_grace: Millis,
    /// Shortest span before a side bids again.
    pub min_rebid_delay: Millis,
    /// Longest span before the side that is next bids again.
    pub max_rebid_delay: Millis,
    /// Longest span added for the loads that go before.
    pub max_queue_delay: Millis,
}

impl Default for LoadOrderOptions {
    fn default() -> Self {
        Self {
            initial_load_time: Millis(500),
            bid_grace: Millis(1_000),
            min_rebid_delay: Millis(5),
            max_rebid_delay: Millis(200),
            max_queue_delay: Millis(50_000),
        }
    }
}
