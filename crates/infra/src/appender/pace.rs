//! Time between appends: pushback doubles it, success shortens it again, down to the appender's
//! share of what the log takes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::AppendOptions;
use crate::backoff::as_millis;

/// Part of the interval that a success leaves.
const RECOVERY: f64 = 0.875;

/// Shortest interval after pushback.
const FLOOR: Duration = Duration::from_millis(20);

pub(super) struct Pace {
    options: AppendOptions,
    /// Shortest interval, which the appender's owner sets.
    least: Rc<Cell<Duration>>,
    interval: Duration,
    /// No append starts before this.
    pub(super) due: Millis,
    rng: ChaCha8Rng,
}

impl Pace {
    pub(super) fn new(options: AppendOptions, least: Rc<Cell<Duration>>) -> Self {
        Self {
            options,
            least,
            interval: options.interval,
            due: Millis(0),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// An append started.
    pub(super) fn start(&mut self, now: Millis) {
        self.due = now + as_millis(self.interval.max(self.least.get()));
    }

    /// The log took it.
    pub(super) fn speed_up(&mut self) {
        let shorter = self.interval.mul_f64(RECOVERY);
        self.interval = shorter.max(self.least.get());
    }

    /// The log asked for fewer, for `asked` if it told.
    pub(super) fn slow_down(&mut self, now: Millis, asked: Option<Duration>) {
        let longer = (self.interval * 2).max(FLOOR);
        self.interval = longer.min(self.options.max_interval);
        let jitter = self.interval.mul_f64(self.rng.random_range(0.5..=1.0));
        let hold = asked.unwrap_or_default() + jitter;
        self.due = self.due.max(now + as_millis(hold));
    }
}
