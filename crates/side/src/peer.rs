//! HTTP handler for requests from entries.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use http::header::{CONTENT_TYPE, HeaderValue};
use pumicecleat_net::{Body, Handler, Incoming, Reply, peer_reply, plain_reply, read_all};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{BidRequest, BidRequestReply, RunRequest, decode};

use crate::run::answer;
use crate::state::State;

const RUN_PATH: &str = "/peer/v1/run";
const CALL_PATH: &str = "/peer/v1/call";
/// Largest request, in bytes. Entries limit the bodies of callers.
const MAX_REQUEST_BYTES: u64 = 64 << 20;
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles run requests and calls for a bid from entries.
pub(crate) struct PeerHandler(pub(crate) Rc<State>);

impl Handler for PeerHandler {
    fn handle(&self, request: Incoming, peer: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let state = Rc::clone(&self.0);
        Box::pin(async move { handle_request(state, request, peer).await })
    }
}

async fn handle_request(state: Rc<State>, request: Incoming, peer: SocketAddr) -> Reply {
    let is_call = request.uri().path() == CALL_PATH;
    let is_known = is_call || request.uri().path() == RUN_PATH;
    if request.method() != http::Method::POST || !is_known {
        return plain_reply(404, "only POST /peer/v1/run and /peer/v1/call\n");
    }
    let mut body = request.into_body();
    let bytes = match read_all(&mut body, MAX_REQUEST_BYTES, READ_TIMEOUT, &state.timer).await {
        Ok(bytes) => bytes,
        Err(e) => return refuse(&state, peer, &e.to_string()),
    };
    if is_call {
        return match decode::<BidRequest>(&bytes) {
            Ok(_) => peer_reply(&handle_call(&state)),
            Err(e) => refuse(&state, peer, &e.to_string()),
        };
    }
    match decode::<RunRequest>(&bytes) {
        Ok(run) => frames_reply(Body::Stream(answer(&state, run))),
        Err(e) => refuse(&state, peer, &e.to_string()),
    }
}

fn handle_call(state: &State) -> BidRequestReply {
    let bids = state
        .backend()
        .is_some_and(|b| b.dispatcher.bid_requested());
    BidRequestReply { bids }
}

fn frames_reply(body: Body) -> Reply {
    let mut reply = Reply::new(body);
    let kind = HeaderValue::from_static("application/msgpack");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

fn refuse(state: &State, peer: SocketAddr, error: &str) -> Reply {
    let peer = peer.to_string();
    let fields = [field("peer", &peer), field("error", error)];
    state.log.emit(&events::PEER_BAD, &fields);
    plain_reply(400, error)
}
