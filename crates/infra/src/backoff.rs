//! Pauses between attempts: doubling, bounded, jittered.

use std::time::Duration;

use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bounds of the pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffOptions {
    /// Pause after a first failure.
    pub first: Duration,
    /// Longest pause, but for one that the peer asks for.
    pub max: Duration,
    /// Seed of the jitter; processes should differ in it.
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

/// Pauses of one loop.
#[derive(Debug)]
pub(crate) struct Backoff {
    options: BackoffOptions,
    pause: Duration,
    rng: ChaCha8Rng,
}

impl Backoff {
    pub(crate) fn new(options: BackoffOptions) -> Self {
        Self {
            options,
            pause: options.first,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Starts again from the shortest pause.
    pub(crate) fn reset(&mut self) {
        self.pause = self.options.first;
    }

    /// Pause before the next attempt: half to all of the present one, and no less than what the
    /// peer asked for.
    pub(crate) fn next_pause(&mut self, asked: Option<Duration>) -> Duration {
        let pause = self.pause.mul_f64(self.rng.random_range(0.5..=1.0));
        self.pause = (self.pause * 2).min(self.options.max);
        asked.map_or(pause, |asked| asked + pause)
    }
}

/// Span in whole milliseconds.
/// Span in whole milliseconds.
#[must_use]
pub fn as_millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
