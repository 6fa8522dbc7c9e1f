//! Chat requests in the OpenAI form.

use serde::{Deserialize, Serialize};

/// Tokens of an answer whose request sets no limit.
const NATURAL_LENGTH: u64 = 16;
const LENGTH_LIMIT: u64 = 1_000_000;
const USER: &str = "user";
const ASSISTANT: &str = "assistant";

/// A message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    role: String,
    content: Content,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ContentPart {
    r#type: String,
    text: String,
}

impl ChatMessage {
    /// Message of `role` with one text.
    #[must_use]
    pub fn new(role: &str, text: &str) -> Self {
        Self {
            role: role.into(),
            content: Content::Text(text.into()),
        }
    }

    /// Texts of the message.
    pub(crate) fn texts(&self) -> Vec<&str> {
        match &self.content {
            Content::Text(text) => vec![text],
            Content::Parts(parts) => parts.iter().map(|p| p.text.as_str()).collect(),
        }
    }

    /// Message is the user's.
    pub(crate) fn is_user(&self) -> bool {
        self.role == USER
    }

    /// Words of the message.
    pub(crate) fn words(&self) -> u64 {
        let count = |text: &str| text.split_whitespace().count() as u64;
        self.texts().into_iter().map(count).sum()
    }
}

/// A chat request; fields that don't bear on the answer are passed over.
#[derive(Deserialize)]
#[allow(clippy::struct_excessive_bools, reason = "the OpenAI form has them")]
pub(crate) struct ChatRequest {
    /// LoRA.
    pub(crate) model: String,
    /// Messages.
    pub(crate) messages: Vec<ChatMessage>,
    /// Answer token by token.
    #[serde(default)]
    pub(crate) stream: bool,
    /// Priority, lower first.
    #[serde(default)]
    pub(crate) priority: i64,
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    continue_final_message: bool,
    #[serde(default)]
    add_generation_prompt: Option<bool>,
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Tokens that an answer consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    /// First token.
    pub(crate) from: u64,
    /// Token after the last.
    pub(crate) end: u64,
    /// The request set the end.
    pub(crate) limited: bool,
}

impl ChatRequest {
    /// What is wrong with the request, if anything.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        let last = self.messages.last().map(|m| m.role.as_str());
        if last.is_none() {
            return Some("messages must not be empty");
        }
        if self.continue_final_message && self.add_generation_prompt == Some(true) {
            return Some("continue_final_message excludes add_generation_prompt");
        }
        if self.continue_final_message && last != Some(ASSISTANT) {
            return Some("continue_final_message needs a last assistant message");
        }
        match self.limit() {
            Some(0) => Some("max_tokens must be at least 1"),
            Some(n) if n > LENGTH_LIMIT => Some("max_tokens is over the model's length"),
            _ => None,
        }
    }

    /// Tokens of the answer.
    pub(crate) fn span(&self) -> Span {
        let from = self.done();
        Span {
            from,
            end: self.limit().map_or(NATURAL_LENGTH.max(from), |n| from + n),
            limited: self.limit().is_some(),
        }
    }

    /// A stream ends with its usage.
    pub(crate) fn wants_usage(&self) -> bool {
        self.stream_options
            .as_ref()
            .is_some_and(|o| o.include_usage)
    }

    /// Tokens that the last message already holds.
    fn done(&self) -> u64 {
        match self.messages.last() {
            Some(last) if self.continue_final_message => last.words(),
            _ => 0,
        }
    }

    fn limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}
