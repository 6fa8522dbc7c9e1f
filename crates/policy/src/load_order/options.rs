//! Options of a load order.

use pumicecleat_types::Millis;

/// Options of a [`LoadOrder`](crate::LoadOrder).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOrderOptions {
    /// Expected time of a load before any has been measured: that of a load at full speed.
    pub initial_load_time: Millis,
    /// Time after which a bid is dropped if its side was due to bid again and did not.
    pub bid_grace: Millis,
    /// Minimum delay before a side bids again.
    pub min_rebid_delay: Millis,
    /// Maximum delay before the side that is next bids again.
    pub max_rebid_delay: Millis,
    /// Maximum delay added for the loads that are ahead of a side.
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
