//! What a stream's events hold.

use serde::Deserialize;

/// Tokens counted by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default, rename = "prompt_tokens")]
    pub prompt: u64,
    /// Tokens of the answer.
    #[serde(default, rename = "completion_tokens")]
    pub completion: u64,
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
    pub finish: Option<String>,
    /// Tokens so far, if the engine tells.
    pub usage: Option<Usage>,
    /// Holds more than text of the first choice: tool calls, reasoning, further choices.
    pub extra: bool,
}
