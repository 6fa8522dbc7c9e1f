//! What is known of a request before it becomes one, and how its refusal is noted.

use std::net::SocketAddr;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{CallerId, Millis, RequestId};

use crate::api_error::ApiError;
use crate::meters::RequestEnd;
use crate::shared::Shared;

/// What is known of a request so far.
pub(super) struct Seen {
    pub(super) request: RequestId,
    pub(super) peer: SocketAddr,
    pub(super) path: String,
    pub(super) arrived: Millis,
    /// Caller, once its key is known.
    pub(super) caller: Option<CallerId>,
}

impl Seen {
    /// Counts and logs a refusal before any attempt.
    pub(super) fn refused(&self, shared: &Shared, fault: &ApiError) {
        let took = shared.timer.now().since(self.arrived);
        shared
            .meters
            .record_end(RequestEnd::Failed, fault.code, took);
        match fault.status {
            401 | 403 | 404 => self.note_caller(shared, fault),
            503 => self.note_later(shared, fault),
            _ => self.note_malformed(shared, fault),
        }
    }

    fn note_caller(&self, shared: &Shared, fault: &ApiError) {
        let fields = [
            field("peer", &self.peer),
            field("caller", self.caller()),
            field("target", self.path.as_str()),
            field("reason", fault.code),
        ];
        shared.log.emit(&events::CALLER_REFUSED, &fields);
    }

    fn note_later(&self, shared: &Shared, fault: &ApiError) {
        let fields = [
            field("request", &self.request),
            field("caller", self.caller()),
            field("target", self.path.as_str()),
            field("reason", fault.code),
            field("ran", "no"),
            field("status", fault.status),
        ];
        shared.log.emit(&events::REQUEST_REFUSED, &fields);
    }

    fn note_malformed(&self, shared: &Shared, fault: &ApiError) {
        let fields = [
            field("peer", &self.peer),
            field("request", &self.request),
            field("reason", fault.message.as_str()),
        ];
        shared.log.emit(&events::REQUEST_MALFORMED, &fields);
    }

    fn caller(&self) -> &str {
        self.caller.as_ref().map_or("", CallerId::as_str)
    }
}
