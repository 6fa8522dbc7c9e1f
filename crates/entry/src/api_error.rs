//! Errors towards callers: the OpenAI form, a stable code, whether the request ran, and when to
//! come back.

use http::HeaderValue;
use http::header::RETRY_AFTER;
use pumicecleat_net::{Reply, json_reply};
use pumicecleat_types::{Millis, Ran, Reason, Refusal};
use serde::Serialize;

/// Span to come back after, where nothing better is known.
pub(crate) const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// Final error answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ApiError {
    /// HTTP status.
    pub(crate) status: u16,
    /// Stable code.
    pub(crate) code: &'static str,
    /// Message for people.
    pub(crate) message: String,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// When to come back.
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
    /// Request that can't be right whatever the load: not run.
    pub(crate) fn rejected(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Request that was not run now and may be met later.
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

    /// Request whose outcome nobody can tell.
    pub(crate) fn outcome_unknown(message: impl Into<String>) -> Self {
        Self {
            status: 502,
            code: "outcome_unknown",
            message: message.into(),
            ran: Ran::Unknown,
            retry_after: None,
        }
    }

    /// A side's refusal as a caller sees it.
    pub(crate) fn from_refusal(refusal: &Refusal) -> Self {
        let face = Face::of(refusal.reason);
        let comes_back = matches!(face.status, 409 | 429 | 503 | 504);
        Self {
            status: face.status,
            code: face.code,
            message: refusal.detail.clone(),
            ran: face.ran,
            retry_after: comes_back.then_some(Millis(refusal.retry_ms.max(1))),
        }
    }

    /// The same fault after an earlier attempt that may have run.
    pub(crate) fn after_uncertain_attempt(mut self) -> Self {
        if self.ran == Ran::No {
            self.ran = Ran::Unknown;
        }
        self
    }

    /// Body of the answer, also the data of a stream's error event.
    pub(crate) fn body(&self) -> Vec<u8> {
        // A struct of texts always encodes.
        serde_json::to_vec(&self.envelope()).unwrap_or_default()
    }

    /// Answer.
    pub(crate) fn to_reply(&self) -> Reply {
        let mut reply = json_reply(self.status, &self.envelope());
        if let Some(retry) = self.retry_after {
            let secs = HeaderValue::from(retry.0.div_ceil(1_000).max(1));
            reply.headers_mut().insert(RETRY_AFTER, secs);
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

/// How a reason looks to a caller.
struct Face {
    status: u16,
    code: &'static str,
    ran: Ran,
}

impl Face {
    /// A key's earlier attempt may have run, so that "not run" would mislead for its reasons.
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

/// Stable code of a reason.
pub(crate) fn reason_code(reason: Reason) -> &'static str {
    Face::of(reason).code
}
