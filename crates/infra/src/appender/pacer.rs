//! Adaptive interval between appends: pushback doubles it, success shortens it, down to the
//! appender's share of the append rate that the log accepts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::AppendOptions;
use crate::backoff::as_millis;

/// Factor applied to the interval after a successful append.
const RECOVERY_FACTOR: f64 = 0.875;

/// Minimum interval after pushback.
const MIN_PUSHBACK_INTERVAL: Duration = Duration::from_millis(20);

pub(super) struct Pacer {
    options: AppendOptions,
    /// Minimum interval, set by the owner of the appender.
    min_interval: Rc<Cell<Duration>>,
    interval: Duration,
    /// Earliest start of the next append.
    pub(super) next_start: Millis,
    rng: ChaCha8Rng,
}

impl Pacer {
    pub(super) fn new(options: AppendOptions, min_interval: Rc<Cell<Duration>>) -> Self {
        Self {
            options,
            min_interval,
            interval: options.interval,
            next_start: Millis(0),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Schedules the next append after one that starts at `now`.
    pub(super) fn record_start(&mut self, now: Millis) {
        self.next_start = now + as_millis(self.interval.max(self.min_interval.get()));
    }

    /// Shortens the interval after a successful append.
    pub(super) fn speed_up(&mut self) {
        let shorter = self.interval.mul_f64(RECOVERY_FACTOR);
        self.interval = shorter.max(self.min_interval.get());
    }

    /// Lengthens the interval after pushback; `retry_after` is the delay that the log requested.
    pub(super) fn slow_down(&mut self, now: Millis, retry_after: Option<Duration>) {
        let longer = (self.interval * 2).max(MIN_PUSHBACK_INTERVAL);
        self.interval = longer.min(self.options.max_interval);
        let jitter = self.interval.mul_f64(self.rng.random_range(0.5..=1.0));
        let delay = retry_after.unwrap_or_default() + jitter;
        self.next_start = self.next_start.max(now + as_millis(delay));
    }
}
