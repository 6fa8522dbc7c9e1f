//! How long answers are: callers' limits on tokens say little of it.

use std::cell::Cell;

/// Expected tokens until some answers have been seen.
const FIRST: f64 = 64.0;
/// Weight of the newest answer.
const GAIN: f64 = 0.05;
/// Estimates are this much over the mean, so that a deadline is rarely missed by a longer answer.
const MARGIN: f64 = 2.0;

/// Running mean of the tokens of whole answers.
#[derive(Debug)]
pub(crate) struct AnswerLengths {
    mean: Cell<f64>,
}

impl Default for AnswerLengths {
    fn default() -> Self {
        Self {
            mean: Cell::new(FIRST),
        }
    }
}

impl AnswerLengths {
    /// Notes an answer of `tokens`.
    pub(crate) fn record(&self, tokens: u32) {
        let mean = self.mean.get();
        self.mean.set(mean + GAIN * (f64::from(tokens) - mean));
    }

    /// Tokens to expect of an answer that may have `most`.
    pub(crate) fn expected_tokens(&self, most: u32) -> u32 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive mean of 32-bit counts"
        )]
        let expected = (self.mean.get() * MARGIN) as u32;
        most.min(expected.max(1)).max(1)
    }
}
