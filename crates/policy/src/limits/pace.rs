//! Spacing of requests under a rate limit.
//!
//! Requests are sent in slots that are one interval of the rate apart. Unused slots do not accumulate, so an idle
//! process sends one request immediately and not a burst. Processes that share a limit each use an equal share
//! of its rate, so that the total stays within the limit without coordination.

use pumicecleat_types::Millis;

/// Minimum rate, in requests per 1,000 seconds over all processes. Some requests must be sent even under a limit
/// of 0, because only a response shows that the limit has ended.
pub(super) const MIN_RATE: u64 = 250;

/// Period to which rates refer: 1,000 seconds.
const RATE_PERIOD_US: u64 = 1_000_000_000;

/// Time slot reserved for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Time from the reservation until the slot.
    pub wait: Millis,
    at_us: u64,
    /// Latest slot reserved before this one.
    previous_us: Option<u64>,
}

/// Spaces the requests of one process to one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacer {
    /// Fraction of the interval before the first slot.
    phase: f64,
    start_us: u64,
    /// Latest slot reserved.
    last_us: Option<u64>,
}

impl Pacer {
    pub(super) fn new_ext(phase: f64, now: Millis) -> Self {
        Self {
            phase,
            start_us: micros(now),
            last_us: None,
        }
    }

    /// Starts anew, as if the limit had just been announced.
    pub(super) fn restart(&mut self, now: Millis) {
        *self = Self::new_ext(self.phase, now);
    }

    pub(super) fn wait(&self, rate: u64, sharers: u32, now: Millis) -> Millis {
        wait_until(self.next_free_us(rate, sharers), now)
    }

    pub(super) fn reserve(
        &mut self,
        rate: u64,
        sharers: u32,
        max_wait: Millis,
        now: Millis,
    ) -> Result<Slot, Millis> {
        let at_us = self.next_free_us(rate, sharers).max(micros(now));
        let wait = wait_until(at_us, now);
        if wait > max_wait {
            return Err(wait);
        }
        let previous_us = self.last_us.replace(at_us);
        Ok(Slot {
            wait,
            at_us,
            previous_us,
        })
    }

    pub(super) fn give_back(&mut self, slot: Slot) {
        if self.last_us == Some(slot.at_us) {
            self.last_us = slot.previous_us;
        }
    }

    /// Time of the next free slot, which may be in the past.
    fn next_free_us(&self, rate: u64, sharers: u32) -> u64 {
        let interval = RATE_PERIOD_US.saturating_mul(u64::from(sharers)) / rate.max(MIN_RATE);
        match self.last_us {
            Some(last) => last.saturating_add(interval),
            None => self.start_us.saturating_add(scale(interval, self.phase)),
        }
    }
}

fn micros(at: Millis) -> u64 {
    at.0.saturating_mul(1_000)
}

/// Time from `now` until `at_us`, rounded up to milliseconds; 0 if it has passed.
fn wait_until(at_us: u64, now: Millis) -> Millis {
    Millis(at_us.saturating_sub(micros(now)).div_ceil(1_000))
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "realistic intervals fit in 53 bits, and float casts saturate"
)]
fn scale(interval: u64, phase: f64) -> u64 {
    (interval as f64 * phase) as u64
}
