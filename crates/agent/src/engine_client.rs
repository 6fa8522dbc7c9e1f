//! The engine, as the agent needs it.

use std::time::Duration;

use pumicecleat_infra::Local;
use pumicecleat_net::NetError;
use pumicecleat_policy::{EngineOrder, EngineState, OrderEnd};
use pumicecleat_types::BaseId;
use snafu::Snafu;

/// What became of an order, and what went wrong if nothing did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderResponse {
    /// What became of it.
    pub outcome: OrderEnd,
    /// What went wrong, for people.
    pub detail: Option<String>,
}

/// A report that could not be had.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ReportError {
    /// The exchange failed.
    #[snafu(display("step read report: {source}"))]
    Net {
        /// Cause, with step and peer.
        source: NetError,
    },
    /// The answer is not a report.
    #[snafu(display("step decode report, peer {peer}: {detail}"))]
    Decode {
        /// Peer.
        peer: String,
        /// What is wrong.
        detail: String,
    },
}

/// An engine that reports and takes orders.
pub trait EngineClient {
    /// What the engine reports, if it does within `timeout`.
    ///
    /// # Errors
    /// [`ReportError`], with the step and the peer.
    fn fetch_report<'a>(
        &'a self,
        base: &'a BaseId,
        timeout: Duration,
    ) -> Local<'a, Result<EngineState, ReportError>>;

    /// Gives an order to `instance`, which must be at `sequence`.
    fn send_order<'a>(
        &'a self,
        base: &'a BaseId,
        order: &'a EngineOrder,
        instance: Option<&'a str>,
        sequence: u64,
        timeout: Duration,
    ) -> Local<'a, OrderResponse>;
}
