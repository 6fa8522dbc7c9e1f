//! Requests of callers.
//!
//! `admit` refuses requests that the entry cannot accept, `headers` parses the request headers,
//! `chat` and `service` create jobs from requests, `models` lists the models available to a caller,
//! and `request_info` logs refusals.

mod admit;
mod chat;
mod headers;
mod models;
mod request_info;
mod service;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderName};
use http::{HeaderValue, Method};
use pumicecleat_net::{BodyError, Handler, Incoming, Lease, NoRoom, Reply, read_all};
use pumicecleat_ops::DrainGuard;
use pumicecleat_types::{CallerId, Millis, RequestId};

use request_info::RequestInfo;

use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER};
use crate::config::ensure_fresh;
use crate::shared::Shared;

/// Header with the id of the request.
const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path of the list of models.
const MODELS_PATH: &str = "/v1/models";

/// Forms of a body that are held while a parsed request is in progress.
const PARSED_FORMS: u64 = 1;

/// Forms of a body that are held while it is sent to a side.
const ATTEMPT_FORMS: u64 = 1;

/// Handler of the listener for callers.
pub(crate) struct CallerHandler {
    shared: Rc<Shared>,
}

/// A request with an authenticated caller.
struct CallerRequest {
    request_id: RequestId,
    caller: CallerId,
    received_at: Millis,
    incoming: Incoming,
    guard: DrainGuard,
}

impl CallerHandler {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
        }
    }
}

impl Handler for CallerHandler {
    fn handle(&self, request: Incoming, peer: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let shared = Rc::clone(&self.shared);
        Box::pin(async move { handle(&shared, request, peer).await })
    }

    fn refuse(&self, request: &Incoming, peer: SocketAddr, no_room: NoRoom) -> Reply {
        let info = RequestInfo::new(&self.shared, request, peer);
        let message = "no memory for another request";
        let fault = ApiError::unavailable("no_memory", message, no_room.retry_after);
        info.record_refusal(&self.shared, &fault);
        with_id(fault.to_reply(), &info)
    }
}

async fn handle(shared: &Rc<Shared>, incoming: Incoming, peer: SocketAddr) -> Reply {
    let mut info = RequestInfo::new(shared, &incoming, peer);
    let result = dispatch(shared, &mut info, incoming).await;
    let mut reply = result.unwrap_or_else(|fault| {
        info.record_refusal(shared, &fault);
        fault.to_reply()
    });
    if shared.stop.is_requested() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    with_id(reply, &info)
}

/// `reply` with the id of its request.
fn with_id(mut reply: Reply, info: &RequestInfo) -> Reply {
    if let Ok(id) = HeaderValue::from_str(info.request_id.as_str()) {
        reply.headers_mut().insert(X_REQUEST_ID, id);
    }
    reply
}

async fn dispatch(
    shared: &Rc<Shared>,
    info: &mut RequestInfo,
    incoming: Incoming,
) -> Result<Reply, ApiError> {
    admit::check_accepting(shared)?;
    let guard = shared.drain.track(&info.request_id);
    // Boxed because each waiting request would otherwise reserve space for this future.
    Box::pin(ensure_fresh(shared)).await;
    let caller = admit::identify(shared, &incoming)?;
    info.caller = Some(caller.clone());
    let call = CallerRequest {
        request_id: info.request_id.clone(),
        caller,
        received_at: info.received_at,
        incoming,
        guard,
    };
    let path = call.incoming.uri().path();
    match (call.incoming.method(), path) {
        (&Method::POST, CHAT_PATH) => Box::pin(chat::handle(shared, call)).await,
        (&Method::GET, MODELS_PATH) => Ok(models::reply(shared, &call.caller)),
        (_, CHAT_PATH | MODELS_PATH) => Err(ApiError::rejected(
            405,
            "method_not_allowed",
            "no such method here",
        )),
        _ => Box::pin(service::handle(shared, call)).await,
    }
}

/// Reads the body of a request.
async fn read_body(shared: &Shared, call: &mut CallerRequest) -> Result<Bytes, ApiError> {
    let limit = shared.config.with(|config| config.limits.body);
    let span = shared.options.body_timeout;
    let body = call.incoming.body_mut();
    let read = read_all(body, limit, span, &shared.timer).await;
    read.map_err(|error| body_fault(&error))
}

/// Memory for further forms of `body`.
fn lease_forms(shared: &Shared, body: &Bytes, forms: u64) -> Result<Lease, ApiError> {
    let mut lease = shared.budget.lease();
    if lease.try_grow(body.len() as u64 * forms) {
        return Ok(lease);
    }
    let message = "no memory for a body of this length";
    Err(ApiError::unavailable(
        "no_memory",
        message,
        DEFAULT_RETRY_AFTER,
    ))
}

fn body_fault(error: &BodyError) -> ApiError {
    let (status, code) = match error {
        BodyError::TooLong { .. } => (413, "body_too_long"),
        BodyError::TooSlow { .. } => (408, "body_too_slow"),
        BodyError::Cut { .. } | BodyError::Broken { .. } => (400, "body_broken"),
        BodyError::NoRoom { retry_after, .. } | BodyError::GaveWay { retry_after, .. } => {
            return ApiError::unavailable("no_memory", error.to_string(), *retry_after);
        }
    };
    ApiError::rejected(status, code, error.to_string())
}
