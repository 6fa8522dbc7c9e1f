//! What an answer must say of itself.

use super::ResponseErrorKind;
use super::fault::{IdMismatchSnafu, ModelMismatchSnafu};
use super::raw::RawResponse;

/// What an answer must say of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedResponse<'a> {
    /// Peer that answers, for errors.
    pub peer: &'a str,
    /// Engine name that must have run.
    pub model: &'a str,
    /// Request id that the answer's `id` must end in, as engines in the vLLM form have it; `None`
    /// for engines that name answers by themselves.
    pub request: Option<&'a str>,
}

impl ExpectedResponse<'_> {
    pub(super) fn check(&self, answer: &RawResponse<'_>) -> Result<(), ResponseErrorKind> {
        let found = answer.model();
        if found != self.model {
            return ModelMismatchSnafu {
                expected: self.model,
                found,
            }
            .fail();
        }
        match self.request {
            Some(request) => check_request(answer.id(), request),
            None => Ok(()),
        }
    }
}

/// Accepts `REQUEST` and `PREFIX-REQUEST`.
fn check_request(found: &str, expected: &str) -> Result<(), ResponseErrorKind> {
    let prefix = found.strip_suffix(expected);
    if prefix.is_some_and(|p| p.is_empty() || p.ends_with('-')) {
        return Ok(());
    }
    IdMismatchSnafu { expected, found }.fail()
}
