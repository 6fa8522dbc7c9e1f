//! Errors of the network, each with its step and peer, and whether the request may have left.

use std::time::Duration;

use snafu::Snafu;

/// Whether a request may have reached its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte of it left.
    No,
    /// It may have arrived.
    Maybe,
}

/// A request that got no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// Address is not an IP address and port.
    #[snafu(display("step address, peer {peer}: not an IP address and port"))]
    Address {
        /// Peer.
        peer: String,
    },
    /// No connection.
    #[snafu(display("step connect, peer {peer}: {source}"))]
    Connect {
        /// Peer.
        peer: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Connection was not ready in time.
    #[snafu(display("step connect, peer {peer}: not within {span:?}"))]
    ConnectTimeout {
        /// Peer.
        peer: String,
        /// Time given.
        span: Duration,
    },
    /// Request was not written.
    #[snafu(display("step send, peer {peer}: {source}"))]
    NotSent {
        /// Peer.
        peer: String,
        /// Cause.
        source: hyper::Error,
    },
    /// Request was written at least in part, and no answer came.
    #[snafu(display("step await answer, peer {peer}: {source}"))]
    Lost {
        /// Peer.
        peer: String,
        /// Cause.
        source: hyper::Error,
    },
    /// No answer in time.
    #[snafu(display("step await answer, peer {peer}: none within {span:?}"))]
    AnswerTimeout {
        /// Peer.
        peer: String,
        /// Time given.
        span: Duration,
    },
    /// Body of the answer broke off, was too long or too slow.
    #[snafu(display("step read answer, peer {peer}: {source}"))]
    Answer {
        /// Peer.
        peer: String,
        /// Cause.
        source: crate::BodyError,
    },
    /// Answer has a status that the exchange doesn't allow.
    #[snafu(display("step read answer, peer {peer}: status {status}"))]
    Status {
        /// Peer.
        peer: String,
        /// HTTP status.
        status: u16,
    },
    /// Answer is not the message expected.
    #[snafu(display("step decode answer, peer {peer}: {source}"))]
    Decode {
        /// Peer.
        peer: String,
        /// Cause.
        source: pumicecleat_types::CodecError,
    },
}

impl NetError {
    /// Whether the request may have reached its peer.
    #[must_use]
    pub fn sent(&self) -> Sent {
        match self {
            Self::Address { .. }
            | Self::Connect { .. }
            | Self::ConnectTimeout { .. }
            | Self::NotSent { .. } => Sent::No,
            _ => Sent::Maybe,
        }
    }

    /// Whether the peer's VM itself said that nobody listens there.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. }
            if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}
