//! Responses that the gateway generates itself.

use http::HeaderValue;
use http::header::RETRY_AFTER;
use pumicecleat_net::{Reply, plain_reply};
use pumicecleat_types::Millis;

use super::trace::RequestTrace;

/// Retry time returned if no upstream or no configuration is known: lists are read within a second.
const UNKNOWN_RETRY_AFTER: Millis = Millis(500);

/// Retry time returned if another gateway can handle the request at once.
const OTHER_GATEWAY_RETRY_AFTER: Millis = Millis(20);

/// Status of a refusal of a request that was not executed and will not be.
pub(super) const REFUSED: u16 = 503;

/// Reason of a refusal or failure because the process is about to end.
pub(super) const STOPPING: &str = "stopping";

/// Reason of a refusal while all upstreams have asked for no requests.
pub(super) const RESTING: &str = "resting";

/// Reason of a refusal while the rate limits of all upstreams have no free slot in time.
pub(super) const LIMITED: &str = "limited";

/// Reason of a failure where the limit of repeats allows no other attempt.
pub(super) const REPEAT_BOUND: &str = "repeat_bound";

/// Refusal of a request that was not executed and will not be.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) reason: &'static str,
    pub(super) retry_after: Millis,
}

impl Refusal {
    /// No configuration is known yet.
    pub(super) fn no_layout() -> Self {
        Self {
            reason: "no_layout",
            retry_after: UNKNOWN_RETRY_AFTER,
        }
    }

    /// The configuration may be out of date, so that the keys known may have been taken away.
    pub(super) fn outdated() -> Self {
        Self {
            reason: "keys_outdated",
            retry_after: UNKNOWN_RETRY_AFTER,
        }
    }

    /// No upstream accepts requests.
    pub(super) fn no_upstream() -> Self {
        Self {
            reason: "no_upstream",
            retry_after: UNKNOWN_RETRY_AFTER,
        }
    }

    /// The process is about to end.
    pub(super) fn stopping() -> Self {
        Self {
            reason: STOPPING,
            retry_after: OTHER_GATEWAY_RETRY_AFTER,
        }
    }

    /// All upstreams have asked for no requests during `backoff`.
    pub(super) fn resting(backoff: Millis) -> Self {
        Self::new(RESTING, backoff)
    }

    /// Upstreams ended while the request was in progress, and it may not be sent again before `retry_after`
    /// has passed.
    pub(super) fn ends_upstreams(retry_after: Millis) -> Self {
        Self::new("ends_upstreams", retry_after)
    }

    /// The allowance of the caller's account has room only after `retry_after`.
    pub(super) fn exceeded(retry_after: Millis) -> Self {
        Self::new("allowance", retry_after)
    }

    pub(super) fn new(reason: &'static str, retry_after: Millis) -> Self {
        Self {
            reason,
            retry_after,
        }
    }

    /// Response 503 with the retry time.
    pub(super) fn reply(self, trace: &RequestTrace) -> Reply {
        self.reply_with(REFUSED, trace)
    }

    /// Response 429 with the retry time, for a caller that exceeds its own allowance.
    pub(super) fn reply_exceeded(self, trace: &RequestTrace) -> Reply {
        self.reply_with(429, trace)
    }

    fn reply_with(self, status: u16, trace: &RequestTrace) -> Reply {
        trace.log_turned_down(status, self.reason, self.retry_after);
        self.plain_reply(status)
    }

    /// The same response, for a request whose end is logged by its trace.
    pub(super) fn unlogged_reply(self) -> Reply {
        self.plain_reply(REFUSED)
    }

    fn plain_reply(self, status: u16) -> Reply {
        let mut reply = plain_reply(status, "not run; come back later\n");
        let seconds = format!("{:.2}", self.retry_after.as_secs());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
        reply
    }
}

/// Response to a request that is invalid or has no route.
pub(super) fn reject(trace: &RequestTrace, status: u16, reason: &str) -> Reply {
    trace.log_turned_down(status, reason, Millis(0));
    plain_reply(status, "request not passed on\n")
}

/// Response to a request that was sent and may have been executed.
pub(super) fn outcome_unknown(trace: &RequestTrace, status: u16, reason: &str) -> Reply {
    trace.log_unsettled(status, reason);
    unknown_reply(status)
}

/// The same response, for a request whose end is logged by its trace.
pub(super) fn unknown_reply(status: u16) -> Reply {
    plain_reply(status, "sent, and without a whole answer\n")
}
