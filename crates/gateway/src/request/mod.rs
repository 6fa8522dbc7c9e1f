//! Handling of one request, from routing to response.

mod authenticate;
mod binding;
mod choose;
mod chunk_gaps;
mod fingerprint;
mod forward;
mod hop_headers;
mod job;
mod model;
mod origin;
mod permit;
mod plain;
mod refuse;
mod resume;
mod send;
mod shortlist;
mod stopping;
mod trace;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::try_join;
use http::HeaderValue;
use http::header::CONNECTION;
use pumicecleat_net::{BodyError, Cause, Handler, Incoming, NoRoom, Reply, read_all};
use pumicecleat_ops::{events, field};
use pumicecleat_types::Millis;
use rand::{Rng, RngExt};

use crate::shared::Shared;
use crate::stop::StopPhase;
use crate::{RequestAttributes, allowance};
use authenticate::{Caller, authenticate};
use fingerprint::fingerprint;
use job::{Destination, Job};
use refuse::{Refusal, reject};
use stopping::until_stop;
use trace::RequestTrace;

/// Timeout for reading a request body. Callers upload over a link for a few seconds at most.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handler of the callers' listener.
#[derive(Clone)]
pub(crate) struct CallerHandler {
    shared: Rc<Shared>,
}

impl CallerHandler {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
        }
    }

    async fn reply(self, request: Incoming) -> Reply {
        let shared = self.shared;
        let mut reply = respond(&shared, request).await;
        if shared.stop.phase() != StopPhase::Running {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
        reply
    }
}

impl Handler for CallerHandler {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        Box::pin(self.clone().reply(request))
    }

    fn refuse(&self, request: &Incoming, _: SocketAddr, no_room: NoRoom) -> Reply {
        let shared = &self.shared;
        let attributes = shared.header_codec.decode_request(request.headers());
        let layout = shared.catalog.borrow().layout().map_or(0, |l| l.number);
        let arrived = shared.timer.now();
        let trace = RequestTrace::new(shared, &attributes, None, layout, arrived);
        let wait = spread(shared, no_room.retry_after);
        Refusal::new("memory", wait).reply(&trace)
    }

    fn on_closed(&self, peer: SocketAddr, cause: Cause) {
        let peer = peer.to_string();
        let fields = [field("peer", peer.as_str()), field("cause", cause.as_str())];
        self.shared
            .log
            .emit(&events::CONNECTION_TURNED_AWAY, &fields);
    }
}

async fn respond(shared: &Rc<Shared>, request: Incoming) -> Reply {
    let arrived = shared.timer.now();
    let (head, mut body) = request.into_parts();
    let attributes = shared.header_codec.decode_request(&head.headers);
    log_unreadable(shared, &attributes);
    let Some(layout) = shared.catalog.borrow().layout().cloned() else {
        let trace = RequestTrace::new(shared, &attributes, None, 0, arrived);
        return Refusal::no_layout().reply(&trace);
    };
    let found = layout
        .find(hop_headers::host(&head), head.uri.path())
        .cloned();
    let Some(route) = found else {
        let trace = RequestTrace::new(shared, &attributes, None, layout.number, arrived);
        return reject(&trace, 404, "no_route");
    };
    let trace = RequestTrace::new(shared, &attributes, Some(&route), layout.number, arrived);
    let caller = match authenticate(shared, &layout, &route, attributes.credentials) {
        Ok(caller) => caller,
        Err(denial) => return denial.reply(shared, &trace),
    };
    if let Some(account) = caller.account() {
        trace.set_account(&account.name);
    }
    let read = read_all(
        &mut body,
        shared.body_limit(&layout),
        BODY_TIMEOUT,
        &shared.timer,
    );
    let take = take_allowance(shared, &caller, layout.number, &attributes);
    // A body that failed is answered at once, as others may wait for its memory.
    let take = take.map(Ok::<_, BodyError>);
    let (body, taken) = match try_join(read, take).await {
        Ok(both) => both,
        Err(e) => return refuse_body(&trace, &e),
    };
    if let Err(wait) = taken {
        return Refusal::exceeded(wait).reply_exceeded(&trace);
    }
    trace.set_fingerprint(fingerprint(&head, &caller, &body));
    trace.set_version(head.version);
    let random = shared.rng.borrow_mut().next_u64();
    let Some(service) = route.pick_service(random).cloned() else {
        return Refusal::no_upstream().reply(&trace);
    };
    let is_engine = layout.engine(&service).is_some();
    if is_engine && shared.stop.phase() == StopPhase::Closing {
        return Refusal::stopping().reply(&trace);
    }
    let destination = Destination { route, service };
    let job = Job::new(shared, head, body, attributes, destination, caller, trace);
    if is_engine {
        until_stop(job, model::serve).await
    } else {
        until_stop(job, plain::serve).await
    }
}

/// Response to a request whose body is not whole. It was not passed on.
fn refuse_body(trace: &RequestTrace, error: &BodyError) -> Reply {
    let reason = match error {
        BodyError::NoRoom { .. } => "memory",
        BodyError::GaveWay { .. } => "stalled_body",
        _ => "body",
    };
    match error.retry_after() {
        Some(wait) => Refusal::new(reason, spread(&trace.shared, wait)).reply(trace),
        None => reject(trace, error.status(), reason),
    }
}

/// Random time from `shortest` up to twice as long, so that callers refused together come back one by one.
fn spread(shared: &Shared, shortest: Millis) -> Millis {
    let extra = shared.rng.borrow_mut().random_range(0..=shortest.0);
    shortest + Millis(extra)
}

fn log_unreadable(shared: &Shared, attributes: &RequestAttributes) {
    if attributes.unreadable.is_empty() {
        return;
    }
    let request = attributes.request_id.as_deref().unwrap_or_default();
    let parts = attributes.unreadable.join(", ");
    let fields = [field("request", request), field("parts", parts.as_str())];
    shared.log.emit(&events::HEAD_UNREADABLE, &fields);
}

/// Takes what the request uses from its account's allowance; fails with the time after which there is room.
async fn take_allowance(
    shared: &Shared,
    caller: &Caller,
    layout: u64,
    attributes: &RequestAttributes,
) -> Result<(), Millis> {
    match caller.account() {
        Some(account) => allowance::take(shared, account, layout, attributes.declared_tokens).await,
        None => Ok(()),
    }
}
