//! Handling of one request, from routing to response.

mod head;
mod identity;
mod job;
mod model;
mod permit;
mod plain;
mod refuse;
mod relay;
mod resume;
mod send;
mod trail;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use http::header::CONNECTION;
use pumicecleat_net::{Handler, Incoming, Reply, read_all};
use pumicecleat_ops::{events, field};
use rand::Rng;

use crate::shared::{Shared, Stopping};
use identity::fingerprint;
use job::Job;
use refuse::{Refusal, own_failure};
use trail::Trail;

/// Timeout for reading a request body. Callers upload over a link for a few seconds at most.
const BODY_SPAN: Duration = Duration::from_secs(10);

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
        let mut reply = answer(&shared, request).await;
        if shared.stopping.get() != Stopping::No {
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
}

async fn answer(shared: &Rc<Shared>, request: Incoming) -> Reply {
    let arrived = shared.timer.now();
    let (head, mut body) = request.into_parts();
    let attributes = shared.header_codec.decode_request(&head.headers);
    if !attributes.unreadable.is_empty() {
        let parts = attributes.unreadable.join(", ");
        let fields = [
            field(
                "request",
                attributes.request_id.as_deref().unwrap_or_default(),
            ),
            field("parts", parts.as_str()),
        ];
        shared.log.emit(&events::HEAD_UNREADABLE, &fields);
    }
    let Some(layout) = shared.catalog.borrow().layout().cloned() else {
        let trail = Trail::new(shared, &attributes, "", 0, arrived);
        return Refusal::unknown().reply(&trail);
    };
    let found = layout.find(head::host(&head), head.uri.path()).cloned();
    let Some(route) = found else {
        let trail = Trail::new(shared, &attributes, "", layout.number, arrived);
        return own_failure(&trail, 404, "no_route");
    };
    let trail = Trail::new(shared, &attributes, &route.name, layout.number, arrived);
    let body = match read_all(
        &mut body,
        layout.limits.max_body_bytes,
        BODY_SPAN,
        &shared.timer,
    )
    .await
    {
        Ok(body) => body,
        Err(e) => return own_failure(&trail, e.status(), "body"),
    };
    trail.set_fingerprint(fingerprint(&head, &body));
    let roll = shared.rng.borrow_mut().next_u64();
    let Some(service) = route.pick_service(roll).cloned() else {
        return Refusal::no_upstream().reply(&trail);
    };
    let engine = layout.engine(&service).is_some();
    if engine && shared.stopping.get() == Stopping::Closing {
        return Refusal::stopping().reply(&trail);
    }
    let job = Job::new(shared, head, body, attributes, route, service, trail);
    if engine {
        model::serve(job).await
    } else {
        plain::serve(job).await
    }
}
