//! How far a streamed answer was passed on.

use super::Chunk;

/// Text and tokens passed on to the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Text of the first choice.
    pub text: String,
    /// Tokens of that text: the engine's count, else one for each chunk with text.
    pub tokens: u64,
    /// Tokens of engines before the present one, whose own counts start anew.
    pub previous_tokens: u64,
    /// Holds more than text, so that another engine can't go on from it.
    pub non_text: bool,
}

impl Progress {
    /// Adds a chunk that was passed on.
    pub fn add(&mut self, chunk: &Chunk) {
        self.text.push_str(&chunk.content);
        self.non_text |= chunk.non_text;
        match chunk.usage {
            Some(usage) if usage.completion > 0 => {
                self.tokens = self.previous_tokens + usage.completion
            }
            _ if chunk.content.is_empty() => {}
            _ => self.tokens += 1,
        }
    }

    /// Another engine goes on from here.
    pub fn resume(&mut self) {
        self.previous_tokens = self.tokens;
    }
}
