//! What can be wrong with an engine's answer.

use snafu::Snafu;

/// A wrong answer of a peer.
#[derive(Debug, Snafu)]
#[snafu(display("step check answer, peer {peer}: {source}"))]
pub struct ResponseError {
    /// Peer.
    pub peer: String,
    /// What is wrong.
    pub source: ResponseErrorKind,
}

/// What is wrong with an answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ResponseErrorKind {
    /// Not UTF-8.
    #[snafu(display("not UTF-8"))]
    Encoding,
    /// Not the JSON expected.
    #[snafu(display("not the JSON expected: {source}"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
    /// An event is too long.
    #[snafu(display("event over {limit} bytes"))]
    TooLong {
        /// Limit, bytes.
        limit: usize,
    },
    /// Of another model than asked for.
    #[snafu(display("model {found:?}, not {expected:?}"))]
    ModelMismatch {
        /// Model asked for.
        expected: String,
        /// Model named, empty if none.
        found: String,
    },
    /// An event belongs to another answer.
    #[snafu(display("event of {found:?} in {expected:?}"))]
    IdMismatch {
        /// Id of the first event.
        expected: String,
        /// Id of this event.
        found: String,
    },
    /// Engine reports an error.
    #[snafu(display("engine error: {detail}"))]
    Engine {
        /// Engine's words.
        detail: String,
    },
    /// Ended without `[DONE]`.
    #[snafu(display("ended without [DONE]"))]
    NotDone,
    /// Goes on after `[DONE]`.
    #[snafu(display("event after [DONE]"))]
    AfterDone,
    /// No choices.
    #[snafu(display("no choices"))]
    NoChoices,
    /// More choices than can be told apart.
    #[snafu(display("choice {index} is out of range"))]
    Index {
        /// Index of the choice.
        index: u32,
    },
    /// A choice without a finish reason.
    #[snafu(display("choice {index} has no finish reason"))]
    NoFinish {
        /// Index of the choice.
        index: u32,
    },
}
