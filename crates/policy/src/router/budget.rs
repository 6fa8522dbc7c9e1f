//! Retry budget: retries are a share of requests, so that they can't multiply load.

/// Parts of one token.
const TOKEN: u64 = 100;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetOptions {
    /// Retries earned by 100 requests.
    pub percent: u32,
    /// Retries at hand at the start, and saved at most.
    pub burst: u32,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            percent: 20,
            burst: 10,
        }
    }
}

/// Tokens for retries: over any time, at most the burst plus the share of requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    parts: u64,
}

impl RetryBudget {
    /// Full budget.
    #[must_use]
    pub fn new_ext(options: RetryBudgetOptions) -> Self {
        let parts = u64::from(options.burst) * TOKEN;
        Self { options, parts }
    }

    /// Counts a request's first attempt.
    pub fn record_request(&mut self) {
        let most = u64::from(self.options.burst) * TOKEN;
        let grown = self.parts + u64::from(self.options.percent);
        self.parts = grown.min(most);
    }

    /// Takes a token for a retry, if there is one.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(rest) = self.parts.checked_sub(TOKEN) else {
            return false;
        };
        self.parts = rest;
        true
    }

    /// Retries at hand.
    #[must_use]
    pub fn available(&self) -> u64 {
        self.parts / TOKEN
    }
}
