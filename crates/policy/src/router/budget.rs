//! Retry budget: limits retries to a share of requests, so that retries can't multiply the load.

/// Parts of one retry token; each request adds `percent` parts.
const PARTS_PER_TOKEN: u64 = 100;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetOptions {
    /// Retries that 100 requests allow.
    pub percent: u32,
    /// Retries available at the start; also the most that are saved up.
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

/// Token bucket for retries: over any period, at most the burst plus the share of requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    parts: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new_ext(options: RetryBudgetOptions) -> Self {
        let parts = u64::from(options.burst) * PARTS_PER_TOKEN;
        Self { options, parts }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        let max_parts = u64::from(self.options.burst) * PARTS_PER_TOKEN;
        let refilled = self.parts + u64::from(self.options.percent);
        self.parts = refilled.min(max_parts);
    }

    /// Takes a token for a retry; false if there is none.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(remaining) = self.parts.checked_sub(PARTS_PER_TOKEN) else {
            return false;
        };
        self.parts = remaining;
        true
    }

    /// Retries available now.
    #[must_use]
    pub fn available(&self) -> u64 {
        self.parts / PARTS_PER_TOKEN
    }
}
