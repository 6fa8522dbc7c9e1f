//! Faults of an exchange with the platform.

use std::time::Duration;

use pumicecleat_net::{NetError, Sent};
use snafu::Snafu;

/// An exchange that gave no usable answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RequestError {
    /// Network failed, or the answer was not whole.
    #[snafu(display("{source}"))]
    Net {
        /// Cause, with step and peer.
        source: NetError,
    },
    /// Answer was read whole, and has a status other than success.
    #[snafu(display("step read answer, peer {peer}: status {status}"))]
    Status {
        /// Peer.
        peer: String,
        /// HTTP status.
        status: u16,
        /// When to come back, by the peer's word.
        retry_after: Option<Duration>,
    },
    /// Answer is not the JSON expected.
    #[snafu(display("step decode answer, peer {peer}: {source}"))]
    Json {
        /// Peer.
        peer: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// Bytes of the answer don't add up.
    #[snafu(display("step decode answer, peer {peer}: {detail}"))]
    Malformed {
        /// Peer.
        peer: String,
        /// What is wrong.
        detail: &'static str,
    },
    /// A name can't stand in a request, so nothing was sent.
    #[snafu(display("step build request, peer {peer}: name {name:?} is not allowed"))]
    InvalidName {
        /// Peers of the service.
        peer: String,
        /// The name.
        name: String,
    },
}

impl RequestError {
    /// Whether the request may have taken effect.
    ///
    /// Statuses 400 to 499 and 503 say that it did not.
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

    /// When to come back, by the peer's word.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Status { retry_after, .. } => *retry_after,
            _ => None,
        }
    }

    /// Whether the peer asked for fewer requests.
    #[must_use]
    pub fn is_pushback(&self) -> bool {
        matches!(self, Self::Status { status: 429, .. })
    }
}
