//! Validation of a response that is not streamed.

use super::error::{NoChoicesSnafu, NoFinishSnafu};
use super::raw::{RawChoice, read_response};
use super::{ExpectedResponse, ResponseError, ResponseErrorKind, Usage};

/// Summary of a complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompletionSummary {
    /// Number of choices.
    pub choices: usize,
    /// Token counts, if the engine reports them.
    pub usage: Option<Usage>,
}

/// Checks that `body` is one complete response.
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
    let response = read_response(body)?;
    expect.check(&response)?;
    if response.choices.is_empty() {
        return NoChoicesSnafu.fail();
    }
    for choice in &response.choices {
        check_choice(choice)?;
    }
    Ok(CompletionSummary {
        choices: response.choices.len(),
        usage: response.usage,
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
