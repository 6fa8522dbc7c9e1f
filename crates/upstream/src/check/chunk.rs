//! What a stream's events hold.

use serde::Deserialize;
use serde_with::{DefaultOnError, serde_as};

/// Tokens counted by the engine.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default, rename = "prompt_tokens")]
    pub prompt: u64,
    /// Tokens of the answer.
    #[serde(default, rename = "completion_tokens")]
    pub completion: u64,
    /// More on the prompt's tokens. Only a hint, so that nothing in it can spoil an answer.
    #[serde_as(as = "DefaultOnError")]
    #[serde(default, rename = "prompt_tokens_details")]
    pub details: PromptDetails,
}

/// More on a prompt's tokens, as far as the engine tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct PromptDetails {
    /// Those found in the prefix cache.
    #[serde(rename = "cached_tokens")]
    pub cached: Option<u64>,
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Part of the answer.
    Chunk(Chunk),
    /// Proper end.
    Done {
        /// Bytes of the event.
        raw: Vec<u8>,
    },
}

/// Part of an answer, of the model asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Bytes of the event with the blank line that ends it.
    pub raw: Vec<u8>,
    /// Text of the first choice.
    pub content: String,
    /// Finish reason of the first choice.
    pub finish_reason: Option<String>,
    /// Tokens so far, if the engine tells.
    pub usage: Option<Usage>,
    /// Holds more than text of the first choice: tool calls, reasoning, further choices.
    pub non_text: bool,
}
