//! Requests of sides and other entries to this entry.

mod config;
mod load;
mod report;

pub(crate) use load::call_bidders;

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use pumicecleat_net::{Handler, Incoming, Reply, peer_reply, plain_reply, read_all};
use pumicecleat_ops::{events, field};
use pumicecleat_types::decode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::directory::ReportPacer;
use crate::shared::Shared;

/// Maximum message size; a report with many slots is the longest message.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;

/// Maximum time for receiving a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Handler of the peer listener.
pub(crate) struct PeerHandler {
    shared: Rc<Shared>,
    pacer: Rc<RefCell<ReportPacer>>,
}

/// A decoded message and its encoded length.
struct Message<M> {
    value: M,
    length: usize,
}

impl PeerHandler {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
            pacer: Rc::default(),
        }
    }
}

impl Handler for PeerHandler {
    fn handle(&self, request: Incoming, peer: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let shared = Rc::clone(&self.shared);
        let pacer = Rc::clone(&self.pacer);
        Box::pin(async move { handle_request(&shared, &pacer, request, peer).await })
    }
}

async fn handle_request(
    shared: &Rc<Shared>,
    pacer: &RefCell<ReportPacer>,
    request: Incoming,
    peer: SocketAddr,
) -> Reply {
    if request.method() != Method::POST {
        return plain_reply(405, "only POST\n");
    }
    let result = match request.uri().path() {
        "/peer/v1/report" => match read_message(shared, request).await {
            Ok(message) => report::handle_report(shared, pacer, &message).map(to_reply),
            Err(e) => Err(e),
        },
        "/peer/v1/config" => read_message(shared, request)
            .await
            .map(|message| to_reply(config::handle_request(shared, message.value))),
        "/peer/v1/load" => read_message(shared, request)
            .await
            .map(|message| to_reply(load::handle_bid(shared, &message.value))),
        _ => return plain_reply(404, "no such exchange\n"),
    };
    result.unwrap_or_else(|error| reject(shared, peer, &error))
}

fn to_reply<T: Serialize>(reply: T) -> Reply {
    peer_reply(&reply)
}

fn reject(shared: &Shared, peer: SocketAddr, error: &str) -> Reply {
    let fields = [field("peer", &peer), field("error", error)];
    shared.log.emit(&events::PEER_BAD, &fields);
    plain_reply(400, error)
}

async fn read_message<M: DeserializeOwned>(
    shared: &Shared,
    mut request: Incoming,
) -> Result<Message<M>, String> {
    let read = read_all(
        request.body_mut(),
        MAX_MESSAGE_BYTES,
        MESSAGE_TIMEOUT,
        &shared.timer,
    )
    .await;
    let bytes = read.map_err(|e| e.to_string())?;
    let value = decode(&bytes).map_err(|e| e.to_string())?;
    let length = bytes.len();
    Ok(Message { value, length })
}
