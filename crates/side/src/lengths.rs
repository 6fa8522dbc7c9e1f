//! Expected length of answers, learned from whole answers, as callers' token limits are a poor
//! predictor of it.

use std::cell::Cell;

/// Mean number of tokens assumed before the first answer.
const INITIAL_MEAN: f64 = 64.0;
/// Weight of the newest answer in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Factor over the mean in estimates, so that an answer longer than the mean rarely misses its
/// deadline.
const SAFETY_FACTOR: f64 = 2.0;

/// Moving average of the tokens of whole answers.
#[derive(Debug)]
pub(crate) struct AnswerLengths {
    mean: Cell<f64>,
}

impl Default for AnswerLengths {
    fn default() -> Self {
        Self {
            mean: Cell::new(INITIAL_MEAN),
        }
    }
}

impl AnswerLengths {
    /// Records a whole answer of `tokens`.
    pub(crate) fn record(&self, tokens: u32) {
        let mean = self.mean.get();
        self.mean
            .set(mean + SAMPLE_WEIGHT * (f64::from(tokens) - mean));
    }

    /// Expected tokens of an answer that may have at most `max_tokens`.
    pub(crate) fn expected_tokens(&self, max_tokens: u32) -> u32 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive mean of 32-bit counts"
        )]
        let expected = (self.mean.get() * SAFETY_FACTOR) as u32;
        max_tokens.min(expected.max(1)).max(1)
    }
}
