//! Estimate of the time of a load, measured by the duration of turns.

use pumicecleat_types::Millis;

/// Inverse of the weight of the latest turn in the moving average.
const AVERAGE_DIVISOR: u64 = 4;

/// Number of expected load times after which a turn expires.
const TTL_LOADS: u64 = 4;

/// Minimum duration of a load; shorter measurements are raised to it.
const MIN_LOAD_TIME: Millis = Millis(20);

/// Maximum duration of a load; longer measurements are lowered to it.
const MAX_LOAD_TIME: Millis = Millis(30_000);

/// Moving average of the time of a load. It rises when the store is slow.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadTimeEstimate {
    load_time: Millis,
}

impl LoadTimeEstimate {
    pub(super) fn new(load_time: Millis) -> Self {
        Self { load_time }
    }

    /// Adds the duration of a turn. A turn that stalled in an outage says little about the next one, so none counts
    /// for more than the time after which a turn expires.
    pub(super) fn add(&mut self, duration: Millis) {
        let duration = duration.min(self.ttl()).clamp(MIN_LOAD_TIME, MAX_LOAD_TIME);
        let kept = self.load_time.0 * (AVERAGE_DIVISOR - 1);
        self.load_time = Millis((kept + duration.0) / AVERAGE_DIVISOR);
    }

    /// Expected time of a load.
    pub(super) fn load_time(self) -> Millis {
        self.load_time
    }

    /// Time after which a turn expires.
    pub(super) fn ttl(self) -> Millis {
        Millis(self.load_time.0 * TTL_LOADS)
    }
}
