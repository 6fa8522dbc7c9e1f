//! Contents of stream events.

use serde::Deserialize;
use serde_with::{DefaultOnError, serde_as};

/// Token counts reported by the engine.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default, rename = "prompt_tokens")]
    pub prompt: u64,
    /// Tokens of the response.
    #[serde(default, rename = "completion_tokens")]
    pub completion: u64,
    /// Details of the prompt tokens. They are only a hint, so an invalid value doesn't invalidate
    /// the response.
    #[serde_as(as = "DefaultOnError")]
    #[serde(default, rename = "prompt_tokens_details")]
    pub details: PromptDetails,
}

/// Details of the prompt tokens, if the engine reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct PromptDetails {
    /// Tokens found in the prefix cache.
    #[serde(rename = "cached_tokens")]
    pub cached: Option<u64>,
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Part of the response.
    Chunk(Chunk),
    /// End of the stream.
    Done {
        /// Bytes of the event.
        raw: Vec<u8>,
    },
}

/// Part of a response from the requested model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Bytes of the event, including the blank line that ends it.
    pub raw: Vec<u8>,
    /// Text of the first choice.
    pub content: String,
    /// Finish reason of the first choice.
    pub finish_reason: Option<String>,
    /// Token counts so far, if the engine reports them.
    pub usage: Option<Usage>,
    /// Whether it has content other than text of the first choice: tool calls, reasoning, further
    /// choices.
    pub non_text: bool,
}
