//! Model and request id that a response must have.

use super::ResponseErrorKind;
use super::error::{IdMismatchSnafu, ModelMismatchSnafu};
use super::raw::RawResponse;

/// Model and request id that a response must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedResponse<'a> {
    /// Address of the engine, for errors.
    pub peer: &'a str,
    /// Engine's name of the requested model.
    pub model: &'a str,
    /// Request id that the response's `id` must end with, as in vLLM; `None` for engines that
    /// generate ids of their own.
    pub request: Option<&'a str>,
}

impl ExpectedResponse<'_> {
    pub(super) fn check(&self, response: &RawResponse<'_>) -> Result<(), ResponseErrorKind> {
        let found = response.model();
        if found != self.model {
            return ModelMismatchSnafu {
                expected: self.model,
                found,
            }
            .fail();
        }
        match self.request {
            Some(request) => check_request(response.id(), request),
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
