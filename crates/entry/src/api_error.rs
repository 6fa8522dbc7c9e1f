//! Errors returned to callers, in the format of the OpenAI API: a stable code, whether the request
//! ran, and when to retry.

use http::HeaderValue;
use http::header::RETRY_AFTER;
use pumicecleat_net::{Reply, json_reply};
use pumicecleat_types::{Millis, Ran, Reason, Refusal};
use serde::Serialize;

/// Retry delay sent to callers if no better one is known.
pub(crate) const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// Error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ApiError {
    /// HTTP status.
    pub(crate) status: u16,
    /// Stable error code.
    pub(crate) code: &'static str,
    /// Human-readable message.
    pub(crate) message: String,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// Delay after which to retry, if a retry may succeed.
    pub(crate) retry_after: Option<Millis>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<&'a str>,
    code: &'static str,
    ran: Ran,
}

impl ApiError {
    /// Error for a request that was rejected without running and would be rejected again.
    pub(crate) fn rejected(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Error for a request that was not run but may succeed later.
    pub(crate) fn unavailable(
        code: &'static str,
        message: impl Into<String>,
        retry: Millis,
    ) -> Self {
        Self {
            status: 503,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: Some(retry),
        }
    }

    /// Error for a request whose outcome is unknown.
    pub(crate) fn outcome_unknown(message: impl Into<String>) -> Self {
        Self {
            status: 502,
            code: "outcome_unknown",
            message: message.into(),
            ran: Ran::Unknown,
            retry_after: None,
        }
    }

    /// Error for a request that a side refused.
    pub(crate) fn from_refusal(refusal: &Refusal) -> Self {
        let mapping = ErrorMapping::of(refusal.reason);
        let is_retryable = matches!(mapping.status, 409 | 429 | 503 | 504);
        Self {
            status: mapping.status,
            code: mapping.code,
            message: refusal.detail.clone(),
            ran: mapping.ran,
            retry_after: is_retryable.then_some(Millis(refusal.retry_ms.max(1))),
        }
    }

    /// The same error for a request with an earlier attempt that may have run.
    pub(crate) fn after_uncertain_attempt(mut self) -> Self {
        if self.ran == Ran::No {
            self.ran = Ran::Unknown;
        }
        self
    }

    /// Response body, also used as the data of a stream's error event.
    pub(crate) fn body(&self) -> Vec<u8> {
        // Serialization of a struct of strings can't fail.
        serde_json::to_vec(&self.envelope()).unwrap_or_default()
    }

    /// HTTP response.
    pub(crate) fn to_reply(&self) -> Reply {
        let mut reply = json_reply(self.status, &self.envelope());
        if let Some(retry_after) = self.retry_after {
            let seconds = HeaderValue::from(retry_after.0.div_ceil(1_000).max(1));
            reply.headers_mut().insert(RETRY_AFTER, seconds);
        }
        reply
    }

    fn envelope(&self) -> Envelope<'_> {
        Envelope {
            error: Detail {
                message: &self.message,
                kind: error_type(self.status),
                param: None,
                code: self.code,
                ran: self.ran,
            },
        }
    }
}

fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        403 => "permission_error",
        404 => "not_found_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

/// Status, code and execution state that a caller gets for a refusal reason.
struct ErrorMapping {
    status: u16,
    code: &'static str,
    ran: Ran,
}

impl ErrorMapping {
    /// `Ran::No` would be misleading where an earlier attempt with the same idempotency key may have
    /// run, so these reasons map to `Ran::Unknown`.
    fn of(reason: Reason) -> Self {
        let (status, code, ran) = match reason {
            Reason::Overloaded => (429, "overloaded", Ran::No),
            Reason::Deadline => (504, "deadline_exceeded", Ran::No),
            Reason::Leaving => (503, "upstream_leaving", Ran::No),
            Reason::UpstreamDown => (503, "upstream_down", Ran::No),
            Reason::LoadFailed => (503, "adapter_load_failed", Ran::No),
            Reason::StaleConfig => (503, "config_changing", Ran::No),
            Reason::WrongPool => (503, "wrong_pool", Ran::No),
            Reason::LogDown => (503, "log_unavailable", Ran::No),
            Reason::KeyBusy => (409, "key_in_use", Ran::Unknown),
            Reason::KeyUnknown => (409, "key_outcome_unknown", Ran::Unknown),
            Reason::KeyReused => (422, "key_reused", Ran::No),
            Reason::KeyExpired => (422, "key_expired", Ran::Unknown),
            Reason::KeyInvalid => (400, "key_invalid", Ran::No),
            Reason::BadRequest => (400, "bad_request", Ran::No),
        };
        Self { status, code, ran }
    }
}

/// Stable error code of a refusal reason.
pub(crate) fn reason_code(reason: Reason) -> &'static str {
    ErrorMapping::of(reason).code
}
