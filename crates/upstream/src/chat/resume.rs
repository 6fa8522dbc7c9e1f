//! Whether another engine may go on with an answer that broke off.
//!
//! Going on puts the text so far into the prompt. That gives what one engine had given only if
//! nothing but the text carries over from token to token; whatever else does is a barrier.

use snafu::Snafu;

use super::ChatBody;
use super::message::ASSISTANT;
use crate::Progress;

/// Why an answer can't be gone on with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ResumeError {
    /// More than one choice.
    #[snafu(display("more than one choice"))]
    Choices,
    /// A field whose meaning would change.
    #[snafu(display("field {field}"))]
    Field {
        /// Its name.
        field: &'static str,
    },
    /// The caller's last message is an assistant's itself.
    #[snafu(display("last message is an assistant's"))]
    LastMessage,
    /// More than text was passed on.
    #[snafu(display("more than text was passed on"))]
    NonText,
    /// Text so far may end within a stop string.
    #[snafu(display("text may end within a stop string"))]
    Stop,
    /// All tokens allowed were passed on.
    #[snafu(display("no tokens left"))]
    Spent,
}

/// A field that is a barrier unless it has one of its idle values.
struct Barrier {
    field: &'static str,
    idle: &'static [&'static str],
}

const fn barrier(field: &'static str) -> Barrier {
    Barrier { field, idle: &[] }
}

const fn unless(field: &'static str, idle: &'static [&'static str]) -> Barrier {
    Barrier { field, idle }
}

const ZERO: &[&str] = &["0", "0.0"];
const ONE: &[&str] = &["1", "1.0"];

const BARRIERS: &[Barrier] = &[
    unless("tools", &["[]"]),
    unless("tool_choice", &["\"none\""]),
    unless("functions", &["[]"]),
    unless("function_call", &["\"none\""]),
    unless("logprobs", &["false"]),
    unless("top_logprobs", &["0"]),
    barrier("prompt_logprobs"),
    unless("response_format", &["{\"type\":\"text\"}"]),
    barrier("structured_outputs"),
    barrier("guided_json"),
    barrier("guided_regex"),
    barrier("guided_choice"),
    barrier("guided_grammar"),
    barrier("guided_decoding_backend"),
    // The same seed draws other numbers from the middle on.
    barrier("seed"),
    // Penalties count what was generated, not what stands in the prompt.
    unless("presence_penalty", ZERO),
    unless("frequency_penalty", ZERO),
    unless("repetition_penalty", ONE),
    unless("use_beam_search", &["false"]),
    unless("best_of", ONE),
    unless("echo", &["false"]),
    barrier("continue_final_message"),
    barrier("add_generation_prompt"),
    barrier("chat_template"),
    barrier("chat_template_kwargs"),
    unless("include_reasoning", &["false"]),
    barrier("reasoning_effort"),
    unless("return_token_ids", &["false"]),
    unless("logits_processors", &["[]"]),
    unless("modalities", &["[\"text\"]"]),
    barrier("audio"),
    barrier("prediction"),
];

impl ChatBody {
    /// Whether this body allows another engine to go on with a broken answer.
    ///
    /// # Errors
    /// [`ResumeError`], the first found.
    pub fn resumable(&self) -> Result<(), ResumeError> {
        if self.choices != 1 {
            return Err(ResumeError::Choices);
        }
        if self.last_role == ASSISTANT {
            return Err(ResumeError::LastMessage);
        }
        match BARRIERS.iter().find(|b| self.has(b)) {
            Some(found) => Err(ResumeError::Field { field: found.field }),
            None => Ok(()),
        }
    }

    /// Whether the answer can be gone on with from here.
    pub(super) fn check_progress(&self, progress: &Progress) -> Result<(), ResumeError> {
        if progress.non_text {
            return Err(ResumeError::NonText);
        }
        if self
            .stops()
            .iter()
            .any(|s| may_be_within(s, &progress.text))
        {
            return Err(ResumeError::Stop);
        }
        Ok(())
    }

    fn has(&self, barrier: &Barrier) -> bool {
        let raw = self.fields.get(barrier.field);
        raw.is_some_and(|r| !barrier.idle.contains(&r.get()))
    }
}

/// Whether `text` ends with a beginning of `stop`, or holds all of it.
fn may_be_within(stop: &str, text: &str) -> bool {
    let mut ends = stop.char_indices().map(|(at, c)| at + c.len_utf8());
    text.contains(stop) || ends.any(|end| text.ends_with(&stop[..end]))
}
