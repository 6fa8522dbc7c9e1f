//! Check of an answer that is not streamed.

use super::fault::{NoChoicesSnafu, NoFinishSnafu};
use super::raw::{RawChoice, read_response};
use super::{ExpectedResponse, ResponseError, ResponseErrorKind, Usage};

/// What a whole answer tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompletionSummary {
    /// Choices.
    pub choices: usize,
    /// Tokens, if the engine tells.
    pub usage: Option<Usage>,
}

/// Checks that `body` is one whole answer.
///
/// # Errors
/// [`ResponseError`] if it is not.
pub fn check_completion(
    expect: ExpectedResponse<'_>,
    body: &[u8],
) -> Result<CompletionSummary, ResponseError> {
    check(&expect, body).map_err(|source| ResponseError {
        peer: expect.peer.to_owned(),
        source,
    })
}

fn check(
    expect: &ExpectedResponse<'_>,
    body: &[u8],
) -> Result<CompletionSummary, ResponseErrorKind> {
    let answer = read_response(body)?;
    expect.check(&answer)?;
    if answer.choices.is_empty() {
        return NoChoicesSnafu.fail();
    }
    for choice in &answer.choices {
        check_choice(choice)?;
    }
    Ok(CompletionSummary {
        choices: answer.choices.len(),
        usage: answer.usage,
    })
}

fn check_choice(choice: &RawChoice<'_>) -> Result<(), ResponseErrorKind> {
    if choice.message.is_none() {
        return NoChoicesSnafu.fail();
    }
    if choice.finish_reason.is_none() {
        let index = choice.index;
        return NoFinishSnafu { index }.fail();
    }
    Ok(())
}
