//! Whether another engine can continue an interrupted response.
//!
//! To resume, the text so far is added to the prompt. The result equals the response of a single
//! engine only if generation depends on nothing but the text; any other state prevents a resume.

use snafu::Snafu;

use super::ChatBody;
use super::message::ASSISTANT;
use crate::Progress;

/// Reason why a response can't be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ResumeError {
    /// The request asks for more than one choice.
    #[snafu(display("more than one choice"))]
    Choices,
    /// The request has a field whose meaning would change.
    #[snafu(display("field {field}"))]
    Field {
        /// Name of the field.
        field: &'static str,
    },
    /// The last message of the request already has the assistant role.
    #[snafu(display("last message is an assistant's"))]
    LastMessage,
    /// Content other than text was forwarded.
    #[snafu(display("more than text was passed on"))]
    NonText,
    /// The text so far may end within a stop string.
    #[snafu(display("text may end within a stop string"))]
    StopString,
    /// All allowed tokens were forwarded.
    #[snafu(display("no tokens left"))]
    NoTokensLeft,
}

/// A field that prevents a resume unless it has one of its neutral values.
struct BlockingField {
    field: &'static str,
    neutral: &'static [&'static str],
}

const fn always(field: &'static str) -> BlockingField {
    BlockingField {
        field,
        neutral: &[],
    }
}

const fn unless(field: &'static str, neutral: &'static [&'static str]) -> BlockingField {
    BlockingField { field, neutral }
}

const ZERO: &[&str] = &["0", "0.0"];
const ONE: &[&str] = &["1", "1.0"];

const BLOCKING_FIELDS: &[BlockingField] = &[
    unless("tools", &["[]"]),
    unless("tool_choice", &["\"none\""]),
    unless("functions", &["[]"]),
    unless("function_call", &["\"none\""]),
    unless("logprobs", &["false"]),
    unless("top_logprobs", &["0"]),
    always("prompt_logprobs"),
    unless("response_format", &["{\"type\":\"text\"}"]),
    always("structured_outputs"),
    always("guided_json"),
    always("guided_regex"),
    always("guided_choice"),
    always("guided_grammar"),
    always("guided_decoding_backend"),
    // The random numbers drawn from a seed depend on the position in the response.
    always("seed"),
    // Penalties count generated tokens, not those of the prompt.
    unless("presence_penalty", ZERO),
    unless("frequency_penalty", ZERO),
    unless("repetition_penalty", ONE),
    unless("use_beam_search", &["false"]),
    unless("best_of", ONE),
    unless("echo", &["false"]),
    always("continue_final_message"),
    always("add_generation_prompt"),
    always("chat_template"),
    always("chat_template_kwargs"),
    unless("include_reasoning", &["false"]),
    always("reasoning_effort"),
    unless("return_token_ids", &["false"]),
    unless("logits_processors", &["[]"]),
    unless("modalities", &["[\"text\"]"]),
    always("audio"),
    always("prediction"),
];

impl ChatBody {
    /// Checks that another engine may resume a response to this body.
    ///
    /// # Errors
    /// [`ResumeError`] with the first reason found.
    pub fn resumable(&self) -> Result<(), ResumeError> {
        if self.choices != 1 {
            return Err(ResumeError::Choices);
        }
        if self.last_role == ASSISTANT {
            return Err(ResumeError::LastMessage);
        }
        match BLOCKING_FIELDS.iter().find(|b| self.is_blocked_by(b)) {
            Some(found) => Err(ResumeError::Field { field: found.field }),
            None => Ok(()),
        }
    }

    /// Checks that the response can be resumed at this point.
    pub(super) fn check_progress(&self, progress: &Progress) -> Result<(), ResumeError> {
        if progress.non_text {
            return Err(ResumeError::NonText);
        }
        if self
            .stops()
            .iter()
            .any(|s| may_end_within(s, &progress.text))
        {
            return Err(ResumeError::StopString);
        }
        Ok(())
    }

    fn is_blocked_by(&self, blocking: &BlockingField) -> bool {
        let raw = self.fields.get(blocking.field);
        raw.is_some_and(|r| !blocking.neutral.contains(&r.get()))
    }
}

/// Whether `text` ends with a prefix of `stop` or contains it.
fn may_end_within(stop: &str, text: &str) -> bool {
    let mut ends = stop.char_indices().map(|(at, c)| at + c.len_utf8());
    text.contains(stop) || ends.any(|end| text.ends_with(&stop[..end]))
}
