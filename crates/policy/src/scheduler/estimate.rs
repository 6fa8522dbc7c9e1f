//! Learned times: of one unit of work, of a step and of a load.

use pumicecleat_types::Millis;

use super::SchedulerOptions;

/// Weight of the newest sample.
const NEW: f64 = 0.1;

/// Mean deviations by which an answer may be slower and still be counted on.
const MARGIN: f64 = 2.0;

/// Weight of the newest load: loads are few.
const NEW_LOAD: f64 = 0.3;

/// Longest load that is believed, in expected ones.
const SLOW_LOAD: f64 = 4.0;

/// Learned times, milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    unit: f64,
    /// Mean deviation from `unit`.
    spread: f64,
    load: f64,
    step_us: u32,
}

impl Estimate {
    pub(super) fn new(options: &SchedulerOptions) -> Self {
        Self {
            unit: f64::from(options.initial_token_us) / 1000.0,
            spread: 0.0,
            load: span(options.expected_load_time),
            step_us: options.initial_token_us,
        }
    }

    /// A whole answer to `tokens` of estimated work took `took`.
    pub(super) fn answered(&mut self, tokens: u32, took: Millis) {
        let sample = span(took) / f64::from(tokens.max(1));
        let off = (sample - self.unit).abs();
        self.spread += NEW * (off - self.spread);
        self.unit += NEW * (sample - self.unit);
    }

    /// A load took `took`; one that stood still in an outage counts for a slow one.
    pub(super) fn loaded(&mut self, took: Millis) {
        let took = span(took).min(self.load * SLOW_LOAD);
        self.load += NEW_LOAD * (took - self.load);
    }

    /// The engine tells its step time.
    pub(super) fn stepped(&mut self, step_us: u32) {
        self.step_us = step_us;
    }

    /// Recent step time, microseconds.
    pub(super) fn step_us(&self) -> u32 {
        self.step_us
    }

    /// Time of an answer to `tokens` of estimated work, once sent.
    pub(super) fn service(&self, tokens: u32) -> Millis {
        millis(self.unit * f64::from(tokens))
    }

    /// Time within which most answers to `tokens` of estimated work are whole, once sent.
    pub(super) fn safe_service(&self, tokens: u32) -> Millis {
        let most = self.unit + MARGIN * self.spread;
        millis(most * f64::from(tokens))
    }

    /// Time until `tokens` of waiting work have been sent, `lanes` at a time.
    pub(super) fn drain(&self, tokens: u64, lanes: u32) -> Millis {
        millis(self.unit * approximate(tokens) / f64::from(lanes.max(1)))
    }

    /// Time of one load.
    pub(super) fn load(&self) -> Millis {
        millis(self.load)
    }
}

#[allow(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
fn approximate(n: u64) -> f64 {
    n as f64
}

fn span(t: Millis) -> f64 {
    t.as_secs() * 1000.0
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float's cast saturates, and spans are not negative"
)]
fn millis(ms: f64) -> Millis {
    Millis(ms.ceil() as u64)
}
