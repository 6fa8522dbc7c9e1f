//! Ids that every call carries and that an answer must not contradict.

use http::{HeaderMap, HeaderName, HeaderValue};

use super::error::{IdMismatchSnafu, RequestSnafu};
use crate::CallError;

/// Request id, the same in each attempt.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Attempt, from 1.
const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");

/// Caller's idempotency key.
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

    /// Accepts an answer that echoes these ids, or leaves them out.
    pub(crate) fn check(&self, peer: &str, headers: &HeaderMap) -> Result<(), CallError> {
        for (name, expected) in &self.list {
            for found in headers.get_all(name) {
                if found != expected {
                    return IdMismatchSnafu {
                        peer,
                        expected: text_of(expected),
                        found: text_of(found),
                    }
                    .fail();
                }
            }
        }
        Ok(())
    }
}

fn text_of(value: &HeaderValue) -> String {
    String::from_utf8_lossy(value.as_bytes()).into_owned()
}
