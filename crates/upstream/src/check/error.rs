//! Errors of engine responses.

use snafu::Snafu;

/// An invalid response of an engine.
#[derive(Debug, Snafu)]
#[snafu(display("step check answer, peer {peer}: {source}"))]
pub struct ResponseError {
    /// Address of the upstream.
    pub peer: String,
    /// Problem.
    pub source: ResponseErrorKind,
}

/// Problem with a response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ResponseErrorKind {
    /// Not UTF-8.
    #[snafu(display("not UTF-8"))]
    Encoding,
    /// Not the expected JSON.
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
    /// The response is from a model other than the requested one.
    #[snafu(display("model {found:?}, not {expected:?}"))]
    ModelMismatch {
        /// Requested model.
        expected: String,
        /// Model named in the response, empty if none.
        found: String,
    },
    /// The response or one of its events belongs to another request.
    #[snafu(display("event of {found:?} in {expected:?}"))]
    IdMismatch {
        /// Expected request id, or the id of the first event.
        expected: String,
        /// Id found.
        found: String,
    },
    /// The engine reports an error.
    #[snafu(display("engine error: {detail}"))]
    Engine {
        /// Error reported by the engine.
        detail: String,
    },
    /// The stream ended without `[DONE]`.
    #[snafu(display("ended without [DONE]"))]
    NotDone,
    /// The stream continues after `[DONE]`.
    #[snafu(display("event after [DONE]"))]
    AfterDone,
    /// No choices.
    #[snafu(display("no choices"))]
    NoChoices,
    /// The index of a choice is over 63, the highest that is tracked.
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
