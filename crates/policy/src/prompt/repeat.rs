//! Bound on what is sent more than once, over a sliding window.
//!
//! Several entries share one bound without a word between them: each keeps to the ratio over its own
//! requests, and to its part of the slack. The sum over all then keeps the bound, however the
//! requests are spread.

use std::collections::VecDeque;

use pumicecleat_types::Millis;

/// Bound of a [`RepeatWindow`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatOptions {
    /// Length of the window.
    pub window: Millis,
    /// Repeats allowed for each request of the window.
    pub ratio: f64,
    /// Repeats allowed beside, of this process alone.
    pub slack: f64,
}

/// Requests and repeats of the last window.
#[derive(Clone, Debug)]
pub struct RepeatWindow {
    options: RepeatOptions,
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RepeatWindow {
    /// Window in which nothing was sent.
    #[must_use]
    pub fn new_ext(options: RepeatOptions) -> Self {
        Self {
            options,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Takes a new bound; what is counted stays.
    pub fn set_options(&mut self, options: RepeatOptions) {
        self.options = options;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Millis) {
        self.settle(now);
        self.requests.push_back(now);
    }

    /// Counts one more send of a request, if the bound allows it.
    #[must_use]
    pub fn try_repeat(&mut self, now: Millis) -> bool {
        self.settle(now);
        let allowed = self.allowed();
        if approximate(self.repeats.len()) + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Repeats that are left now.
    #[must_use]
    pub fn remaining(&mut self, now: Millis) -> f64 {
        self.settle(now);
        self.allowed() - approximate(self.repeats.len())
    }

    fn allowed(&self) -> f64 {
        self.options.ratio * approximate(self.requests.len()) + self.options.slack
    }

    fn settle(&mut self, now: Millis) {
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
