//! Errors of the log client.

use std::time::Duration;

use pumicecleat_net::Sent;
use snafu::Snafu;

use crate::RequestError;

/// Append that was not confirmed.
#[derive(Debug, Snafu)]
pub enum AppendError {
    /// Did not take effect, and will not.
    #[snafu(display("append refused: {source}"))]
    Refused {
        /// Cause, including the step and the peer.
        source: RequestError,
        /// Retry delay that the log requested.
        retry_after: Option<Duration>,
    },
    /// May have taken effect, or may still do so.
    #[snafu(display("append lost: {source}"))]
    Lost {
        /// Cause, including the step and the peer.
        source: RequestError,
        /// Retry delay that the log requested.
        retry_after: Option<Duration>,
    },
}

impl AppendError {
    /// Retry delay that the log requested.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after, .. } | Self::Lost { retry_after, .. } => *retry_after,
        }
    }

    /// Whether the log refused the append because of its rate limit.
    #[must_use]
    pub fn is_pushback(&self) -> bool {
        matches!(self, Self::Refused { source, .. } if source.is_pushback())
    }
}

impl From<RequestError> for AppendError {
    fn from(source: RequestError) -> Self {
        let retry_after = source.retry_after();
        match source.sent() {
            Sent::No => Self::Refused {
                source,
                retry_after,
            },
            Sent::Maybe => Self::Lost {
                source,
                retry_after,
            },
        }
    }
}

/// Failed read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The requested offset is older than the oldest retained one.
    #[snafu(display("step read, peer {peer}: trimmed, kept from {first}"))]
    Trimmed {
        /// Peer.
        peer: String,
        /// Oldest retained offset.
        first: u64,
        /// Next free offset.
        next: u64,
    },
    /// The request failed.
    #[snafu(display("read failed: {source}"))]
    Failed {
        /// Cause, including the step and the peer.
        source: RequestError,
        /// Retry delay that the log requested.
        retry_after: Option<Duration>,
    },
}

impl ReadError {
    /// Retry delay that the log requested.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Failed { retry_after, .. } => *retry_after,
            Self::Trimmed { .. } => None,
        }
    }
}

impl From<RequestError> for ReadError {
    fn from(source: RequestError) -> Self {
        let retry_after = source.retry_after();
        Self::Failed {
            source,
            retry_after,
        }
    }
}
