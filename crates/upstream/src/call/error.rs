//! Errors of a call, which tell whether the upstream may have processed the request.

use std::time::Duration;

use http::HeaderMap;
use pumicecleat_net::{NetError, Sent, retry_after};
use snafu::Snafu;

/// Delay that the upstream asks for before a retry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfter(pub Option<Duration>);

impl RetryAfter {
    /// Reads a `Retry-After` header in seconds; a date is ignored.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Self {
        Self(retry_after(headers))
    }
}

/// A call without a usable response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// The request can't be built, so nothing was sent.
    #[snafu(display("step build request, peer {peer}: {detail}"))]
    Request {
        /// Address of the upstream.
        peer: String,
        /// Cause.
        detail: String,
    },
    /// The network failed, or the response was incomplete.
    #[snafu(display("{source}"))]
    Net {
        /// Cause, with the step and the peer.
        source: NetError,
    },
    /// The response has a status other than 200.
    #[snafu(display("step read answer, peer {peer}: status {status}"))]
    Status {
        /// Address of the upstream.
        peer: String,
        /// HTTP status.
        status: u16,
        /// Delay before a retry.
        retry: RetryAfter,
    },
    /// The response is delimited by the end of the connection, so a truncated one can't be detected.
    #[snafu(display("step read answer, peer {peer}: neither length nor chunks"))]
    UnframedBody {
        /// Address of the upstream.
        peer: String,
    },
    /// The response belongs to another request or attempt.
    #[snafu(display("step match answer, peer {peer}: for {found:?}, not {expected:?}"))]
    IdMismatch {
        /// Address of the upstream.
        peer: String,
        /// Id that was sent.
        expected: String,
        /// Id in the response.
        found: String,
    },
    /// The response lacks required content.
    #[snafu(display("step read answer, peer {peer}: {detail}"))]
    InvalidContent {
        /// Address of the upstream.
        peer: String,
        /// The missing content.
        detail: String,
    },
    /// The response is not the expected JSON.
    #[snafu(display("step decode answer, peer {peer}: {source}"))]
    Json {
        /// Address of the upstream.
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
