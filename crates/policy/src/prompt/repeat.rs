//! Limit on repeated sends of requests, over a sliding window.
//!
//! Several gateways share one limit without communication: each keeps to the ratio over its own requests and
//! to its share of the slack. The sum over all gateways then keeps to the limit, whatever the distribution of
//! the requests.

use std::collections::VecDeque;

use pumicecleat_types::Millis;

/// Limit of a [`RepeatWindow`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatOptions {
    /// Length of the window.
    pub window: Millis,
    /// Allowed repeats per request in the window.
    pub ratio: f64,
    /// Allowed repeats of this process in addition to the ratio.
    pub slack: f64,
}

/// Requests and repeats in the current window.
#[derive(Clone, Debug)]
pub struct RepeatWindow {
    options: RepeatOptions,
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RepeatWindow {
    /// Creates an empty window.
    #[must_use]
    pub fn new_ext(options: RepeatOptions) -> Self {
        Self {
            options,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Replaces the options; counted requests and repeats are kept.
    pub fn set_options(&mut self, options: RepeatOptions) {
        self.options = options;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Millis) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Counts a repeated send if the limit allows it, and returns whether it does.
    #[must_use]
    pub fn try_repeat(&mut self, now: Millis) -> bool {
        self.drop_expired(now);
        if approximate(self.repeats.len()) + 1.0 > self.max_repeats() {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Requests in the window, as of the last call with a time.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Repeats in the window, as of the last call with a time.
    #[must_use]
    pub fn repeats(&self) -> usize {
        self.repeats.len()
    }

    /// Repeats that the window allows, as of the last call with a time.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a window allows far fewer than 2^52, and never less than zero"
    )]
    pub fn allowed(&self) -> u64 {
        self.max_repeats() as u64
    }

    fn max_repeats(&self) -> f64 {
        self.options.ratio * approximate(self.requests.len()) + self.options.slack
    }

    fn drop_expired(&mut self, now: Millis) {
        let window = self.options.window;
        for list in [&mut self.requests, &mut self.repeats] {
            while list.front().is_some_and(|at| now.since(*at) > window) {
                list.pop_front();
            }
        }
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "a window holds far fewer than 2^52"
)]
fn approximate(n: usize) -> f64 {
    n as f64
}
