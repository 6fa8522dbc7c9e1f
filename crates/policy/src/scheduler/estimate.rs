//! Learned times of one unit of work, of an engine step and of a load.

use pumicecleat_types::Millis;

use super::SchedulerOptions;

/// Weight of the newest answer in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Safety margin on the time of an answer, in mean deviations.
const SAFETY_DEVIATIONS: f64 = 2.0;

/// Weight of the newest load in the moving average; higher than for answers, as loads are few.
const LOAD_SAMPLE_WEIGHT: f64 = 0.3;

/// A load sample is capped at this multiple of the expected load time.
const MAX_LOAD_RATIO: f64 = 4.0;

/// Learned times, in milliseconds unless named otherwise.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Time of one unit of work.
    unit: f64,
    /// Mean deviation from `unit`.
    deviation: f64,
    load: f64,
    step_us: u32,
}

impl Estimate {
    pub(super) fn new(options: &SchedulerOptions) -> Self {
        Self {
            unit: f64::from(options.initial_token_us) / 1000.0,
            deviation: 0.0,
            load: as_float(options.expected_load_time),
            step_us: options.initial_token_us,
        }
    }

    /// Records that a whole answer to `tokens` of estimated work took `took`.
    pub(super) fn record_answer(&mut self, tokens: u32, took: Millis) {
        let sample = as_float(took) / f64::from(tokens.max(1));
        let off = (sample - self.unit).abs();
        self.deviation += SAMPLE_WEIGHT * (off - self.deviation);
        self.unit += SAMPLE_WEIGHT * (sample - self.unit);
    }

    /// Records that a load took `took`. The sample is capped, so that a load stalled by an outage
    /// counts as a slow one only.
    pub(super) fn record_load(&mut self, took: Millis) {
        let took = as_float(took).min(self.load * MAX_LOAD_RATIO);
        self.load += LOAD_SAMPLE_WEIGHT * (took - self.load);
    }

    /// Sets the step time that the engine reported.
    pub(super) fn set_step_us(&mut self, step_us: u32) {
        self.step_us = step_us;
    }

    /// Latest step time, in microseconds.
    pub(super) fn step_us(&self) -> u32 {
        self.step_us
    }

    /// Expected time from send to the end of an answer to `tokens` of estimated work.
    pub(super) fn service_time(&self, tokens: u32) -> Millis {
        to_millis(self.unit * f64::from(tokens))
    }

    /// Like [`service_time`](Self::service_time), with a margin that most answers stay within.
    pub(super) fn safe_service_time(&self, tokens: u32) -> Millis {
        let safe_unit = self.unit + SAFETY_DEVIATIONS * self.deviation;
        to_millis(safe_unit * f64::from(tokens))
    }

    /// Time until `tokens` of waiting work have been sent, with `batch` requests running at a time.
    pub(super) fn drain_time(&self, tokens: u64, batch: u32) -> Millis {
        to_millis(self.unit * approximate(tokens) / f64::from(batch.max(1)))
    }

    /// Expected time of one load.
    pub(super) fn load_time(&self) -> Millis {
        to_millis(self.load)
    }
}

#[allow(clippy::cast_precision_loss, reason = "work stays far below 2^52")]
fn approximate(n: u64) -> f64 {
    n as f64
}

fn as_float(t: Millis) -> f64 {
    t.as_secs() * 1000.0
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float's cast saturates, and spans are not negative"
)]
fn to_millis(ms: f64) -> Millis {
    Millis(ms.ceil() as u64)
}
