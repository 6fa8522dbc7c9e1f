//! Limits of chat request bodies.

/// Limits of a chat request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChatLimits {
    /// Maximum length, bytes.
    pub bytes: usize,
    /// Maximum nesting depth of objects and arrays.
    pub depth: usize,
    /// Maximum number of messages.
    pub messages: usize,
    /// Maximum number of requested choices, at most 64.
    pub choices: u64,
    /// Maximum number of requested tokens.
    pub tokens: u64,
    /// Maximum number of stop strings.
    pub stops: usize,
}

impl Default for ChatLimits {
    fn default() -> Self {
        Self {
            bytes: 4 << 20,
            depth: 64,
            messages: 4096,
            choices: 64,
            tokens: 1 << 20,
            stops: 16,
        }
    }
}
