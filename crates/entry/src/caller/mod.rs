//! What callers ask of this entry.
//!
//! `admit` refuses what can't be taken at all, `headers` reads what a request's head says, `chat`
//! and `service` make a job of it, `models` lists what a caller may reach, `seen` notes refusals.

mod admit;
mod chat;
mod headers;
mod models;
mod seen;
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

use seen::Seen;

use crate::api_error::ApiError;
use crate::config::ensure_fresh;
use crate::shared::Shared;

/// Header with the request's id.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Path of chat requests.
const CHAT: &str = "/v1/chat/completions";

/// Path of the list of models.
const MODELS: &str = "/v1/models";

/// Handler of the callers' listener.
pub(crate) struct CallerHandler {
    shared: Rc<Shared>,
}

/// A request whose caller is known.
struct Call {
    request: RequestId,
    caller: CallerId,
    arrived: Millis,
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
        Box::pin(async move { answer(&shared, request, peer).await })
    }
}

async fn answer(shared: &Rc<Shared>, incoming: Incoming, peer: SocketAddr) -> Reply {
    let mut seen = Seen {
        request: RequestId::from(Uuid::now_v7().to_string()),
        peer,
        path: incoming.uri().path().to_owned(),
        arrived: shared.timer.now(),
        caller: None,
    };
    let result = take(shared, &mut seen, incoming).await;
    let mut reply = result.unwrap_or_else(|fault| {
        seen.refused(shared, &fault);
        fault.to_reply()
    });
    let headers = reply.headers_mut();
    if let Ok(id) = HeaderValue::from_str(seen.request.as_str()) {
        headers.insert(REQUEST_ID, id);
    }
    if shared.stop.is_asked() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn take(shared: &Rc<Shared>, seen: &mut Seen, incoming: Incoming) -> Result<Reply, ApiError> {
    admit::check_open(shared)?;
    let guard = shared.drain.enter(&seen.request);
    // Boxed, as each waiting request would hold room for it.
    Box::pin(ensure_fresh(shared)).await;
    let caller = admit::identify(shared, &incoming)?;
    seen.caller = Some(caller.clone());
    let call = Call {
        request: seen.request.clone(),
        caller,
        arrived: seen.arrived,
        incoming,
        guard,
    };
    let path = call.incoming.uri().path();
    match (call.incoming.method(), path) {
        (&Method::POST, CHAT) => Box::pin(chat::answer(shared, call)).await,
        (&Method::GET, MODELS) => Ok(models::answer(shared, &call.caller)),
        (_, CHAT | MODELS) => Err(ApiError::rejected(
            405,
            "method_not_allowed",
            "no such method here",
        )),
        _ => Box::pin(service::answer(shared, call)).await,
    }
}

/// Whole body of a request.
async fn read_body(shared: &Shared, call: &mut Call) -> Result<Vec<u8>, ApiError> {
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
        BodyError::Broken { .. } => (400, "body_broken"),
    };
    ApiError::rejected(status, code, error.to_string())
}
