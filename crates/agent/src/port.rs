//! The engine, as the agent needs it.

use std::time::Duration;

use pumicecleat_infra::Local;
use pumicecleat_net::NetError;
use pumicecleat_policy::{EngineOrder, EngineReport, OrderOutcome};
use pumicecleat_types::BaseId;
use snafu::Snafu;

/// What became of an order, and what went wrong if nothing did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// What became of it.
    pub end: OrderOutcome,
    /// What went wrong, for people.
    pub detail: Option<String>,
}

/// A report that could not be had.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PortError {
    /// The exchange failed.
    #[snafu(display("step read report: {source}"))]
    Net {
        /// Cause, with step and peer.
        source: NetError,
    },
    /// The answer is not a report.
    #[snafu(display("step decode report, peer {peer}: {detail}"))]
    Form {
        /// Peer.
        peer: String,
        /// What is wrong.
        detail: String,
    },
}

/// An engine that reports and takes orders.
pub trait EnginePort {
    /// What the engine reports, if it does within `span`.
    ///
    /// # Errors
    /// [`PortError`], with the step and the peer.
    fn report<'a>(
        &'a self,
        base: &'a BaseId,
        span: Duration,
    ) -> Local<'a, Result<EngineReport, PortError>>;

    /// Gives an order to `instance`, which must be at `sequence`.
    fn order<'a>(
        &'a self,
        base: &'a BaseId,
        order: &'a EngineOrder,
        instance: Option<&'a str>,
        sequence: u64,
        span: Duration,
    ) -> Local<'a, OrderAnswer>;
}
