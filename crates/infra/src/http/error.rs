//! Errors of requests to the platform.

use std::time::Duration;

use pumicecleat_net::{NetError, Sent};
use snafu::Snafu;

/// Request without a usable response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RequestError {
    /// Network error, or incomplete response.
    #[snafu(display("{source}"))]
    Net {
        /// Cause, including the step and the peer.
        source: NetError,
    },
    /// Complete response with a status other than success.
    #[snafu(display("step read answer, peer {peer}: status {status}"))]
    Status {
        /// Peer.
        peer: String,
        /// HTTP status.
        status: u16,
        /// Retry delay that the peer requested.
        retry_after: Option<Duration>,
    },
    /// The response is not the expected JSON.
    #[snafu(display("step decode answer, peer {peer}: {source}"))]
    Json {
        /// Peer.
        peer: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// The response body is malformed.
    #[snafu(display("step decode answer, peer {peer}: {detail}"))]
    Malformed {
        /// Peer.
        peer: String,
        /// What is wrong.
        detail: &'static str,
    },
    /// Name that is not allowed in a request; nothing was sent.
    #[snafu(display("step build request, peer {peer}: name {name:?} is not allowed"))]
    InvalidName {
        /// Peers of the service.
        peer: String,
        /// Rejected name.
        name: String,
    },
}

impl RequestError {
    /// Whether the request may have taken effect.
    ///
    /// Statuses 400 to 499 and 503 mean that it did not.
    #[must_use]
    pub fn sent(&self) -> Sent {
        match self {
            Self::Net { source } => source.sent(),
            Self::Status {
                status: 400..=499 | 503,
                ..
            }
            | Self::InvalidName { .. } => Sent::No,
            Self::Status { .. } | Self::Json { .. } | Self::Malformed { .. } => Sent::Maybe,
        }
    }

    /// Retry delay that the peer requested.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Status { retry_after, .. } => *retry_after,
            _ => None,
        }
    }

    /// Whether the peer rejected the request because of its rate limit.
    #[must_use]
    pub fn is_pushback(&self) -> bool {
        matches!(self, Self::Status { status: 429, .. })
    }
}
