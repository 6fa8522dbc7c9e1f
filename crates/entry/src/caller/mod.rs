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

use http::header::{CONNECTION, HeaderName};
use http::{HeaderValue, Method};
use pumicecleat_net::{BodyError, Handler, Incoming, Reply, read_all};
use pumicecleat_ops::DrainGuard;
use pumicecleat_types::{CallerId, Millis, RequestId};
use uuid::Uuid;

use request_info::RequestInfo;

use crate::api_error::ApiError;
use crate::config::ensure_fresh;
use crate::shared::Shared;

/// Header with the id of the request.
const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path of the list of models.
const MODELS_PATH: &str = "/v1/models";

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
}

async fn handle(shared: &Rc<Shared>, incoming: Incoming, peer: SocketAddr) -> Reply {
    let mut info = RequestInfo {
        request_id: RequestId::from(Uuid::now_v7().to_string()),
        peer,
        path: incoming.uri().path().to_owned(),
        received_at: shared.timer.now(),
        caller: None,
    };
    let result = dispatch(shared, &mut info, incoming).await;
    let mut reply = result.unwrap_or_else(|fault| {
        info.record_refusal(shared, &fault);
        fault.to_reply()
    });
    let headers = reply.headers_mut();
    if let Ok(id) = HeaderValue::from_str(info.request_id.as_str()) {
        headers.insert(X_REQUEST_ID, id);
    }
    if shared.stop.is_requested() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
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
async fn read_body(shared: &Shared, call: &mut CallerRequest) -> Result<Vec<u8>, ApiError> {
    let limit = shared.config.with(|config| config.limits.body);
    let span = shared.options.body_timeout;
    let body = call.incoming.body_mut();
    let declared = http_body::Body::size_hint(body).lower();
    let read = if declared > limit {
        Err(BodyError::TooLong { limit })
    } else {
        read_all(body, limit, span, &shared.timer).await
    };
    read.map_err(|error| body_fault(&error))
}

fn body_fault(error: &BodyError) -> ApiError {
    let (status, code) = match error {
        BodyError::TooLong { .. } => (413, "body_too_long"),
        BodyError::TooSlow { .. } => (408, "body_too_slow"),
        BodyError::Cut { .. } | BodyError::Broken { .. } => (400, "body_broken"),
    };
    ApiError::rejected(status, code, error.to_string())
}
