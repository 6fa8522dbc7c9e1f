//! Interface to the engine.

use std::time::Duration;

use pumicecleat_infra::Local;
use pumicecleat_net::NetError;
use pumicecleat_policy::{EngineOrder, EngineReport, OrderOutcome};
use pumicecleat_types::BaseId;
use snafu::Snafu;

/// Response to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderResponse {
    /// Outcome of the order.
    pub outcome: OrderOutcome,
    /// Human-readable description of the failure, if there was one.
    pub detail: Option<String>,
}

/// A report could not be fetched.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ReportError {
    /// The request failed.
    #[snafu(display("step read report: {source}"))]
    Net {
        /// Cause, with step and peer.
        source: NetError,
    },
    /// The response is not a valid report, or the path of the health check not a path.
    #[snafu(display("step decode report, peer {peer}: {detail}"))]
    Decode {
        /// Address of the engine.
        peer: String,
        /// Description of the fault.
        detail: String,
    },
}

/// Client of one engine.
pub trait EngineClient {
    /// Fetches the engine's report.
    ///
    /// # Errors
    /// Returns [`ReportError`], with the step and the peer, if no valid report arrives within `timeout`.
    fn fetch_report<'a>(
        &'a self,
        base: &'a BaseId,
        timeout: Duration,
    ) -> Local<'a, Result<EngineReport, ReportError>>;

    /// Asks the engine for its instance name by its health check at `path`; `None` if the response does not name
    /// it.
    ///
    /// # Errors
    /// Returns [`ReportError`], with the step and the peer, if no response arrives within `timeout`;
    /// [`ReportError::Decode`] if no request can be sent to `path`.
    fn fetch_instance<'a>(
        &'a self,
        path: &'a str,
        timeout: Duration,
    ) -> Local<'a, Result<Option<String>, ReportError>>;

    /// Sends an order, which the engine must refuse unless it is at `sequence` and, if `instance` is given,
    /// is that instance.
    fn send_order<'a>(
        &'a self,
        base: &'a BaseId,
        order: &'a EngineOrder,
        instance: Option<&'a str>,
        sequence: u64,
        timeout: Duration,
    ) -> Local<'a, OrderResponse>;
}
