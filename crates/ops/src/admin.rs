//! HTTP handler of the admin listener: metrics, health, readiness and a state dump.

use std::future::{Future, ready};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use http::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use pumicecleat_net::{Handler, Incoming, Reply, json_reply, plain_reply};
use serde::Serialize;

use crate::{Metrics, Readiness, UnmetCondition};

/// Media type of the metrics response.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Process state that `/dump` returns.
pub trait Dump {
    /// Returns the state as JSON, without secrets.
    fn dump(&self) -> serde_json::Value;
}

/// Handler of `/metrics`, `/healthz`, `/readyz` and `/dump`.
pub struct Admin {
    metrics: Metrics,
    readiness: Readiness,
    state: Rc<dyn Dump>,
}

#[derive(Serialize)]
struct ReadyReply {
    ready: bool,
    unmet: Vec<UnmetCondition>,
}

impl Admin {
    /// Creates a handler for the metrics, readiness and state of a process.
    #[must_use]
    pub fn new(metrics: &Metrics, readiness: &Readiness, state: Rc<dyn Dump>) -> Self {
        Self {
            metrics: metrics.clone(),
            readiness: readiness.clone(),
            state,
        }
    }

    fn reply(&self, request: &Incoming) -> Reply {
        if request.method() != http::Method::GET {
            let mut reply = plain_reply(405, "only GET\n");
            reply
                .headers_mut()
                .insert(ALLOW, HeaderValue::from_static("GET"));
            return reply;
        }
        match request.uri().path() {
            "/metrics" => self.metrics_reply(),
            "/healthz" => plain_reply(200, "ok\n"),
            "/readyz" => self.ready_reply(),
            "/dump" => json_reply(200, &self.state.dump()),
            _ => plain_reply(404, "one of /metrics /healthz /readyz /dump\n"),
        }
    }

    fn metrics_reply(&self) -> Reply {
        let mut reply = plain_reply(200, &self.metrics.text());
        let media_type = HeaderValue::from_static(OPEN_METRICS);
        reply.headers_mut().insert(CONTENT_TYPE, media_type);
        reply
    }

    fn ready_reply(&self) -> Reply {
        let unmet = self.readiness.unmet();
        let ready = unmet.is_empty();
        let status = if ready { 200 } else { 503 };
        json_reply(status, &ReadyReply { ready, unmet })
    }
}

impl Handler for Admin {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        Box::pin(ready(self.reply(&request)))
    }
}
