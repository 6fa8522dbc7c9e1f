//! Orders to an engine and their errors.

use pumicecleat_net::Sent;
use snafu::Snafu;

use crate::CallError;

/// An order about one LoRA.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Engine name, `adapter@version`.
    pub lora: &'a str,
    /// Path of its weights in the store.
    pub path: &'a str,
    /// Fencing number; engines that check refuse an older one than they saw.
    pub fence: u64,
}

/// An order that was not carried out, or may not have been.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OrderError {
    /// Engine saw a newer fencing number.
    #[snafu(display("step order, peer {peer}: stale, engine saw fencing number {fencing}"))]
    Stale {
        /// Peer.
        peer: String,
        /// Highest number the engine saw.
        fencing: u64,
    },
    /// No free slot; or, as the engine words both alike, already loaded.
    #[snafu(display("step order, peer {peer}: no slot: {detail}"))]
    NoSlot {
        /// Peer.
        peer: String,
        /// Engine's words.
        detail: String,
    },
    /// Store has no such weights.
    #[snafu(display("step order, peer {peer}: no such weights"))]
    NoWeights {
        /// Peer.
        peer: String,
    },
    /// Engine refused or failed.
    #[snafu(display("step order, peer {peer}: status {status}: {detail}"))]
    Failed {
        /// Peer.
        peer: String,
        /// HTTP status.
        status: u16,
        /// Engine's words.
        detail: String,
    },
    /// Engine said it was done, and does not show it.
    #[snafu(display("step confirm order, peer {peer}: {lora} is not resident"))]
    Unconfirmed {
        /// Peer.
        peer: String,
        /// Engine name.
        lora: String,
    },
    /// Order did not reach the engine.
    #[snafu(display("order not sent: {source}"))]
    NotSent {
        /// Cause, with step and peer.
        source: CallError,
    },
    /// Order may have been carried out, or may yet be.
    #[snafu(display("order lost: {source}"))]
    Lost {
        /// Cause, with step and peer.
        source: CallError,
    },
}

impl OrderError {
    /// Whether the LoRA may be resident all the same.
    pub(crate) fn is_doubtful(&self) -> bool {
        matches!(self, Self::NoSlot { .. } | Self::Lost { .. })
    }
}

impl From<CallError> for OrderError {
    fn from(source: CallError) -> Self {
        match source.sent() {
            Sent::No => Self::NotSent { source },
            Sent::Maybe => Self::Lost { source },
        }
    }
}
