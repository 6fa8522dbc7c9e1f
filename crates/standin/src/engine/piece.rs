//! What a request's run sends to its answer.

use std::rc::Rc;

/// Names an answer carries.
pub(crate) struct Head {
    /// Request id, from its header.
    pub(crate) request: String,
    /// Answer's id.
    pub(crate) id: String,
    /// Model.
    pub(crate) model: String,
    /// Seconds since 1970.
    pub(crate) created: u64,
}

/// Tokens used.
#[derive(Clone, Copy)]
pub(crate) struct Count {
    /// Of the prompt.
    pub(crate) prompt: u64,
    /// Of the prompt, found in the prefix cache.
    pub(crate) cached: u64,
    /// The same as the answer tells it, if it does.
    pub(crate) told: Option<i64>,
    /// Of the answer.
    pub(crate) answer: u64,
}

/// Why an answer ended.
#[derive(Clone, Copy)]
pub(crate) enum Finish {
    /// The text ended.
    Stop,
    /// The request's limit was reached.
    Length,
}

/// Next of an answer.
pub(crate) enum Event {
    /// A token.
    Token(String),
    /// Proper end.
    End(Finish, Count),
    /// End without the rest, on request.
    Cut,
}

/// Event with the names of the answer it belongs to.
pub(crate) struct Piece {
    /// Names.
    pub(crate) head: Rc<Head>,
    /// Event.
    pub(crate) event: Event,
}
