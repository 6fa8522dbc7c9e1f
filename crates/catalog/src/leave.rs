//! Time bounds within which a gateway stops sending requests to a leaving upstream.
//!
//! Agents and other gateways may be unreachable, so the bounds assume that a gateway learns of the upstream
//! from the list alone. The sum of all waits from the entry in the list to the last request must stay below
//! the leave span.

use std::time::Duration;

/// Part of the leave span for which the list is considered current, counted from the start of the read.
const MAX_LIST_AGE_PART: f64 = 0.6;

/// Part of the leave span for which a read of the list may wait for a record.
const WAIT_PART: f64 = 0.5;

/// Part of the leave span after which an unanswered read is retried on another connection.
const ANSWER_TIMEOUT_PART: f64 = 0.125;

/// Part of the leave span within which some gateway reads a new record and all gateways have received it,
/// while the list answers. Covers two reads and the interval between two entries of an upstream.
const READ_INTERVAL_PART: f64 = 2.0;

/// Time budgeted for a response of a healthy store.
const STORE_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Connect timeout for upstreams and agents. A request that is already assigned to a leaving upstream may
/// still wait this long.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Bounds of the waits between an entry in the list and the last request to its upstream.
#[derive(Clone, Copy, Debug)]
pub struct LeaveBudget {
    /// Age up to which the list is considered current.
    pub max_list_age: Duration,
    /// Time that a read of the list may wait for a record.
    pub wait: Duration,
    /// Time beyond the wait after which an unanswered read is retried.
    pub answer_timeout: Duration,
    /// Longest time between two reads of a list that answers, across all gateways.
    pub max_read_interval: Duration,
}

impl LeaveBudget {
    /// Budget for upstreams that may get requests for `span` after they announced that they leave.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            max_list_age: span.mul_f64(MAX_LIST_AGE_PART),
            wait: span.mul_f64(WAIT_PART),
            answer_timeout: span.mul_f64(ANSWER_TIMEOUT_PART),
            max_read_interval: span.mul_f64(READ_INTERVAL_PART),
        }
    }

    /// Longest time from an entry in the list to the last request to its upstream, while the store answers.
    /// Assumes that the first read after the entry times out, and that the retry finds the history trimmed
    /// and is followed by a read of the newest records.
    #[must_use]
    pub fn worst_case(&self) -> Duration {
        let first_read = self.max_list_age.max(self.wait) + self.answer_timeout;
        first_read + 2 * STORE_RESPONSE_TIME + CONNECT_TIMEOUT
    }
}
