//! What an answer must say of itself.

use super::AnswerFault;
use super::fault::{CrossedSnafu, ModelSnafu};
use super::raw::RawAnswer;

/// What an answer must say of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expect<'a> {
    /// Peer that answers, for errors.
    pub peer: &'a str,
    /// Engine name that must have run.
    pub model: &'a str,
    /// Request id that the answer's `id` must end in, as engines in the vLLM form have it; `None`
    /// for engines that name answers by themselves.
    pub request: Option<&'a str>,
}

impl Expect<'_> {
    pub(super) fn check(&self, answer: &RawAnswer<'_>) -> Result<(), AnswerFault> {
        let found = answer.model();
        if found != self.model {
            return ModelSnafu {
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
fn check_request(found: &str, expected: &str) -> Result<(), AnswerFault> {
    let prefix = found.strip_suffix(expected);
    if prefix.is_some_and(|p| p.is_empty() || p.ends_with('-')) {
        return Ok(());
    }
    CrossedSnafu { expected, found }.fail()
}
