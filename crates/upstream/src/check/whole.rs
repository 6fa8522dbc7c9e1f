//! Check of an answer that is not streamed.

use super::fault::{NoChoicesSnafu, NoFinishSnafu};
use super::raw::{RawChoice, read_answer};
use super::{AnswerError, AnswerFault, Expect, Usage};

/// What a whole answer tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Whole {
    /// Choices.
    pub choices: usize,
    /// Tokens, if the engine tells.
    pub usage: Option<Usage>,
}

/// Checks that `body` is one whole answer.
///
/// # Errors
/// [`AnswerError`] if it is not.
pub fn check_whole(expect: Expect<'_>, body: &[u8]) -> Result<Whole, AnswerError> {
    check(&expect, body).map_err(|source| AnswerError {
        peer: expect.peer.to_owned(),
        source,
    })
}

fn check(expect: &Expect<'_>, body: &[u8]) -> Result<Whole, AnswerFault> {
    let answer = read_answer(body)?;
    expect.check(&answer)?;
    if answer.choices.is_empty() {
        return NoChoicesSnafu.fail();
    }
    for choice in &answer.choices {
        check_choice(choice)?;
    }
    Ok(Whole {
        choices: answer.choices.len(),
        usage: answer.usage,
    })
}

fn check_choice(choice: &RawChoice<'_>) -> Result<(), AnswerFault> {
    if choice.message.is_none() {
        return NoChoicesSnafu.fail();
    }
    if choice.finish_reason.is_none() {
        let index = choice.index;
        return NoFinishSnafu { index }.fail();
    }
    Ok(())
}
