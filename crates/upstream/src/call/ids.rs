//! Ids sent with every call, which a response must not contradict.

use http::{HeaderMap, HeaderName, HeaderValue};

use super::error::{IdMismatchSnafu, RequestSnafu};
use crate::CallError;

/// Header with the request id, which is the same in each attempt.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the attempt number, starting at 1.
const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");

/// Header with the caller's idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Ids of one call.
pub(crate) struct CallIds {
    list: Vec<(HeaderName, HeaderValue)>,
}

impl CallIds {
    pub(crate) fn new(peer: &str, request: &str, attempt: u32) -> Result<Self, CallError> {
        let Ok(id) = HeaderValue::from_str(request) else {
            let detail = format!("request id {request:?} can't stand in a header");
            return RequestSnafu { peer, detail }.fail();
        };
        let list = vec![(REQUEST_ID, id), (ATTEMPT, HeaderValue::from(attempt))];
        Ok(Self { list })
    }

    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        for (name, value) in &self.list {
            headers.insert(name, value.clone());
        }
    }

    /// Accepts a response that echoes these ids or omits them.
    pub(crate) fn check(&self, peer: &str, headers: &HeaderMap) -> Result<(), CallError> {
        for (name, expected) in &self.list {
            for found in headers.get_all(name) {
                if found != expected {
                    return IdMismatchSnafu {
                        peer,
                        expected: to_text(expected),
                        found: to_text(found),
                    }
                    .fail();
                }
            }
        }
        Ok(())
    }
}

fn to_text(value: &HeaderValue) -> String {
    String::from_utf8_lossy(value.as_bytes()).into_owned()
}
