//! Exponential backoff with an upper bound and jitter.

use std::time::Duration;

use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Options of the backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffOptions {
    /// Delay after the first failure.
    pub first: Duration,
    /// Longest delay, unless the peer requests a longer one.
    pub max: Duration,
    /// Seed of the jitter; should differ between processes.
    pub seed: u64,
}

impl Default for BackoffOptions {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(50),
            max: Duration::from_secs(5),
            seed: 0,
        }
    }
}

/// Backoff state of one retry loop.
#[derive(Debug)]
pub(crate) struct Backoff {
    options: BackoffOptions,
    delay: Duration,
    rng: ChaCha8Rng,
}

impl Backoff {
    pub(crate) fn new(options: BackoffOptions) -> Self {
        Self {
            options,
            delay: options.first,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Returns to the shortest delay.
    pub(crate) fn reset(&mut self) {
        self.delay = self.options.first;
    }

    /// Delay before the next attempt: 50 to 100 % of the current delay, added to the delay that the
    /// peer requested.
    pub(crate) fn next_delay(&mut self, requested: Option<Duration>) -> Duration {
        let delay = self.delay.mul_f64(self.rng.random_range(0.5..=1.0));
        self.delay = (self.delay * 2).min(self.options.max);
        requested.map_or(delay, |requested| requested + delay)
    }
}

/// Duration in whole milliseconds, rounded down.
#[must_use]
pub fn as_millis(duration: Duration) -> Millis {
    Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
