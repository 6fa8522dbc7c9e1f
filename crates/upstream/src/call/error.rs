//! Errors of a call, and whether the upstream may have acted.

use std::time::Duration;

use http::HeaderMap;
use pumicecleat_net::{NetError, Sent, retry_after};
use snafu::Snafu;

/// When to come back, by the upstream's word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfter(pub Option<Duration>);

impl RetryAfter {
    /// Span of a `Retry-After` in seconds; a date is not read.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Self {
        Self(retry_after(headers))
    }
}

/// A call without a usable answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// Request can't be built, so nothing was sent.
    #[snafu(display("step build request, peer {peer}: {detail}"))]
    Request {
        /// Peer.
        peer: String,
        /// Cause.
        detail: String,
    },
    /// Network failed, or the answer was not whole.
    #[snafu(display("{source}"))]
    Net {
        /// Cause, with step and peer.
        source: NetError,
    },
    /// Answer has a status other than success.
    #[snafu(display("step read answer, peer {peer}: status {status}"))]
    Status {
        /// Peer.
        peer: String,
        /// HTTP status.
        status: u16,
        /// When to come back.
        retry: RetryAfter,
    },
    /// Answer ends with its connection, so that it can't be told from one cut short.
    #[snafu(display("step read answer, peer {peer}: neither length nor chunks"))]
    UnframedBody {
        /// Peer.
        peer: String,
    },
    /// Answer belongs to another request or attempt.
    #[snafu(display("step match answer, peer {peer}: for {found:?}, not {expected:?}"))]
    IdMismatch {
        /// Peer.
        peer: String,
        /// Id sent.
        expected: String,
        /// Id in the answer.
        found: String,
    },
    /// Answer lacks what it should tell.
    #[snafu(display("step read answer, peer {peer}: {detail}"))]
    InvalidContent {
        /// Peer.
        peer: String,
        /// What it lacks.
        detail: String,
    },
    /// Answer is not the JSON expected.
    #[snafu(display("step decode answer, peer {peer}: {source}"))]
    Json {
        /// Peer.
        peer: String,
        /// Cause.
        source: serde_json::Error,
    },
}

impl CallError {
    /// Whether the request may have reached the upstream.
    #[must_use]
    pub fn sent(&self) -> Sent {
        match self {
            Self::Request { .. } => Sent::No,
            Self::Net { source } => source.sent(),
            _ => Sent::Maybe,
        }
    }
}
