//! Data of an incoming request for the log, and the logging of its refusal.

use std::net::SocketAddr;

use pumicecleat_net::Incoming;
use pumicecleat_ops::{events, field};
use pumicecleat_types::{CallerId, Millis, RequestId};
use uuid::Uuid;

use crate::api_error::ApiError;
use crate::meters::RequestEnd;
use crate::shared::Shared;

/// Data of a request that has not become a job yet.
pub(super) struct RequestInfo {
    pub(super) request_id: RequestId,
    pub(super) peer: SocketAddr,
    pub(super) path: String,
    pub(super) received_at: Millis,
    /// Caller, once authenticated.
    pub(super) caller: Option<CallerId>,
}

impl RequestInfo {
    /// Data of a request that has just arrived.
    pub(super) fn new(shared: &Shared, incoming: &Incoming, peer: SocketAddr) -> Self {
        Self {
            request_id: RequestId::from(Uuid::now_v7().to_string()),
            peer,
            path: incoming.uri().path().to_owned(),
            received_at: shared.timer.now(),
            caller: None,
        }
    }

    /// Counts and logs a refusal before the first attempt.
    pub(super) fn record_refusal(&self, shared: &Shared, fault: &ApiError) {
        let elapsed = shared.timer.now().since(self.received_at);
        shared
            .meters
            .record_end(RequestEnd::Failed, fault.code, elapsed);
        match fault.status {
            401 | 403 | 404 => self.log_caller_refused(shared, fault),
            503 => self.log_request_refused(shared, fault),
            _ => self.log_request_malformed(shared, fault),
        }
    }

    fn log_caller_refused(&self, shared: &Shared, fault: &ApiError) {
        let fields = [
            field("peer", &self.peer),
            field("caller", self.caller()),
            field("target", self.path.as_str()),
            field("reason", fault.code),
        ];
        shared.log.emit(&events::CALLER_REFUSED, &fields);
    }

    fn log_request_refused(&self, shared: &Shared, fault: &ApiError) {
        let fields = [
            field("request", &self.request_id),
            field("caller", self.caller()),
            field("target", self.path.as_str()),
            field("reason", fault.code),
            field("ran", "no"),
            field("status", fault.status),
        ];
        shared.log.emit(&events::REQUEST_REFUSED, &fields);
    }

    fn log_request_malformed(&self, shared: &Shared, fault: &ApiError) {
        let fields = [
            field("peer", &self.peer),
            field("request", &self.request_id),
            field("reason", fault.message.as_str()),
        ];
        shared.log.emit(&events::REQUEST_MALFORMED, &fields);
    }

    fn caller(&self) -> &str {
        self.caller.as_ref().map_or("", CallerId::as_str)
    }
}
