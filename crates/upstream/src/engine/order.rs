//! Load and unload orders to an engine, and their errors.

use pumicecleat_net::Sent;
use snafu::Snafu;

use crate::CallError;

/// An order to load or unload one LoRA adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Engine name, `adapter@version`.
    pub lora: &'a str,
    /// Path of the weights in the store.
    pub path: &'a str,
    /// Fencing number. Engines that check it refuse a number lower than the highest they have seen.
    pub fence: u64,
}

/// An order that failed or whose outcome is unknown.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OrderError {
    /// The engine has seen a newer fencing number.
    #[snafu(display("step order, peer {peer}: stale, engine saw fencing number {fencing}"))]
    Stale {
        /// Address of the upstream.
        peer: String,
        /// Highest number that the engine has seen.
        fencing: u64,
    },
    /// No free slot, or already loaded: the engine responds with status 400 to both.
    #[snafu(display("step order, peer {peer}: no slot: {detail}"))]
    NoSlot {
        /// Address of the upstream.
        peer: String,
        /// Message of the engine.
        detail: String,
    },
    /// The store doesn't have the weights.
    #[snafu(display("step order, peer {peer}: no such weights"))]
    NoWeights {
        /// Address of the upstream.
        peer: String,
    },
    /// The engine refused the order or failed.
    #[snafu(display("step order, peer {peer}: status {status}: {detail}"))]
    Failed {
        /// Address of the upstream.
        peer: String,
        /// HTTP status.
        status: u16,
        /// Message of the engine.
        detail: String,
    },
    /// The engine reported success but doesn't list the adapter as resident.
    #[snafu(display("step confirm order, peer {peer}: {lora} is not resident"))]
    Unconfirmed {
        /// Address of the upstream.
        peer: String,
        /// Engine name.
        lora: String,
    },
    /// The order was not sent to the engine.
    #[snafu(display("order not sent: {source}"))]
    NotSent {
        /// Cause, with the step and the peer.
        source: CallError,
    },
    /// The order may have been carried out, or may still be.
    #[snafu(display("order lost: {source}"))]
    Lost {
        /// Cause, with the step and the peer.
        source: CallError,
    },
}

impl OrderError {
    /// Whether the adapter may be resident despite the error.
    pub(crate) fn is_uncertain(&self) -> bool {
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
