//! Errors of the log, by what they say of the change.

use std::time::Duration;

use pumicecleat_net::Sent;
use snafu::Snafu;

use crate::RequestError;

/// An append without a word that it stands.
#[derive(Debug, Snafu)]
pub enum AppendError {
    /// Did not take effect, and won't.
    #[snafu(display("append refused: {source}"))]
    Refused {
        /// Cause, with step and peer.
        source: RequestError,
        /// When to come back, by the log's word.
        retry_after: Option<Duration>,
    },
    /// May have taken effect, or may yet.
    #[snafu(display("append lost: {source}"))]
    Lost {
        /// Cause, with step and peer.
        source: RequestError,
        /// When to come back, by the log's word.
        retry_after: Option<Duration>,
    },
}

impl AppendError {
    /// When to come back, by the log's word.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after, .. } | Self::Lost { retry_after, .. } => *retry_after,
        }
    }

    /// Whether the log refused for its rate alone.
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

/// A read without records.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// Offset asked for is older than the oldest kept.
    #[snafu(display("step read, peer {peer}: trimmed, kept from {first}"))]
    Trimmed {
        /// Peer.
        peer: String,
        /// Oldest offset kept.
        first: u64,
        /// Next free offset.
        next: u64,
    },
    /// Exchange failed.
    #[snafu(display("read failed: {source}"))]
    Failed {
        /// Cause, with step and peer.
        source: RequestError,
        /// When to come back, by the log's word.
        retry_after: Option<Duration>,
    },
}

impl ReadError {
    /// When to come back, by the log's word.
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
