//! Limit on repeated sends of requests, which several gateways keep without communication.
//!
//! Over any window, the repeats of all gateways must not exceed a ratio of the requests plus a slack. The
//! requests are those of the window, of the one before it, or of the one half a window earlier, whichever has
//! the most. Each process spends credit of its own:
//!
//! - It starts without credit.
//! - Each request adds [`EARNED_PART`] of the ratio, and each window up to [`ACCRUED_PART`] of the process's
//!   share of the slack.
//! - At most the rest of the share is saved up, and the rest of the ratio for each request of the last window.
//!
//! What all processes spend within a window is therefore at most what they had saved up at its start, plus what
//! is added in it: the slack, the saved part of the ratio over the requests of the window before, and the
//! earned part over those of the window itself. That holds for any distribution of the requests, however often
//! processes start.

use std::collections::VecDeque;

use pumicecleat_types::Millis;

/// Part of the ratio that each request adds. The rest is saved up for losses of many requests at once.
const EARNED_PART: f64 = 0.75;

/// Part of the share of the slack that a window adds, whether or not there are requests.
const ACCRUED_PART: f64 = 0.5;

/// Options of a [`RepeatLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatOptions {
    /// Length of the window.
    pub window: Millis,
    /// Longest time between the send of a repeat and its arrival.
    pub transit: Millis,
    /// Allowed repeats per request in the window.
    pub ratio: f64,
    /// Share of this process in the repeats that are allowed in addition to the ratio.
    pub slack: f64,
}

impl RepeatOptions {
    /// Credit that `requests` requests of the last window allow to save up.
    #[must_use]
    pub fn max_saved(&self, requests: usize) -> f64 {
        let ratio = self.ratio * (1.0 - EARNED_PART);
        self.saved_slack() + ratio * approximate(requests)
    }

    /// Credit that a request adds.
    #[must_use]
    pub fn earned(&self) -> f64 {
        self.ratio * EARNED_PART * self.sent_part()
    }

    /// Credit that a window adds.
    #[must_use]
    pub fn accrued(&self) -> f64 {
        (self.slack - self.saved_slack()) * self.sent_part()
    }

    /// Part of the share that can be saved up. A share of less than two is saved up to the first whole repeat.
    fn saved_slack(&self) -> f64 {
        let saved = self.slack * (1.0 - ACCRUED_PART);
        saved.max(self.slack.min(1.0))
    }

    /// Part of what is added that can be spent: repeats that arrive within a window were sent within one that
    /// is longer by the transit.
    fn sent_part(&self) -> f64 {
        let sent_window = self.window + self.transit;
        self.window.as_secs() / sent_window.max(Millis(1)).as_secs()
    }
}

/// Credit of one process for repeats, and its requests of the last window.
#[derive(Clone, Debug)]
pub struct RepeatLimit {
    options: RepeatOptions,
    requests: VecDeque<Millis>,
    credit: f64,
    /// Reserved repeats without an outcome. They count against what may be saved up.
    reserved: u32,
    /// Time up to which `credit` has accrued.
    accrued_at: Millis,
}

impl RepeatLimit {
    /// Creates a limit without credit at `now`.
    #[must_use]
    pub fn new_ext(options: RepeatOptions, now: Millis) -> Self {
        Self {
            options,
            requests: VecDeque::new(),
            credit: 0.0,
            reserved: 0,
            accrued_at: now,
        }
    }

    /// Replaces the options; as much credit is kept as they allow.
    pub fn set_options(&mut self, options: RepeatOptions) {
        self.options = options;
    }

    /// Counts a request and adds its credit.
    pub fn record_request(&mut self, now: Millis) {
        self.advance(now);
        self.requests.push_back(now);
        self.add(self.options.earned());
    }

    /// Reserves credit for a repeated send, and returns whether there was enough.
    #[must_use]
    pub fn try_reserve(&mut self, now: Millis) -> bool {
        self.advance(now);
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        self.reserved += 1;
        true
    }

    /// Spends reserved credit: the repeat is sent.
    pub fn spend(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns reserved credit: the repeat is not sent.
    pub fn release(&mut self, now: Millis) {
        self.advance(now);
        self.reserved = self.reserved.saturating_sub(1);
        self.add(1.0);
    }

    /// Repeats for which there is credit, as of the last call with a time.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "credit is far below 2^52 and never negative"
    )]
    pub fn remaining(&self) -> u64 {
        self.credit as u64
    }

    /// Removes expired requests, and adds the credit that has accrued.
    fn advance(&mut self, now: Millis) {
        let window = self.options.window.max(Millis(1));
        while self
            .requests
            .front()
            .is_some_and(|at| now.since(*at) >= window)
        {
            self.requests.pop_front();
        }
        let passed = now.since(self.accrued_at).as_secs() / window.as_secs();
        self.accrued_at = self.accrued_at.max(now);
        self.add(self.options.accrued() * passed);
    }

    fn add(&mut self, credit: f64) {
        let max_saved = self.options.max_saved(self.requests.len());
        let max_credit = (max_saved - f64::from(self.reserved)).max(0.0);
        self.credit = (self.credit + credit).min(max_credit);
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "a window holds far fewer than 2^52"
)]
fn approximate(n: usize) -> f64 {
    n as f64
}
