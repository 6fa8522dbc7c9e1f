//! Limits of a caller's body.

/// Limits of a chat body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChatLimits {
    /// Length, bytes.
    pub bytes: usize,
    /// Objects and arrays within each other.
    pub depth: usize,
    /// Messages.
    pub messages: usize,
    /// Choices asked for, at most 64.
    pub choices: u64,
    /// Tokens asked for.
    pub tokens: u64,
    /// Stop strings.
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
