//! What sides and other entries ask of this entry.

mod config;
mod load;
mod report;

pub(crate) use load::call_idle;

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

/// Longest message, bytes: a report of many slots.
const LIMIT: u64 = 1 << 20;

/// Time for a message to arrive.
const SPAN: Duration = Duration::from_secs(5);

/// Handler of the peer listener.
pub(crate) struct PeerHandler {
    shared: Rc<Shared>,
    pace: Rc<RefCell<ReportPacer>>,
}

/// A message as it came.
struct Message<M> {
    value: M,
    length: usize,
}

impl PeerHandler {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
            pace: Rc::default(),
        }
    }
}

impl Handler for PeerHandler {
    fn handle(&self, request: Incoming, peer: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let shared = Rc::clone(&self.shared);
        let pace = Rc::clone(&self.pace);
        Box::pin(async move { answer(&shared, &pace, request, peer).await })
    }
}

async fn answer(
    shared: &Rc<Shared>,
    pace: &RefCell<ReportPacer>,
    request: Incoming,
    peer: SocketAddr,
) -> Reply {
    if request.method() != Method::POST {
        return plain_reply(405, "only POST\n");
    }
    let result = match request.uri().path() {
        "/peer/v1/report" => match read(shared, request).await {
            Ok(message) => report::answer(shared, pace, &message).map(ok),
            Err(e) => Err(e),
        },
        "/peer/v1/config" => read(shared, request)
            .await
            .map(|message| ok(config::answer(shared, message.value))),
        "/peer/v1/load" => read(shared, request)
            .await
            .map(|message| ok(load::answer(shared, &message.value))),
        _ => return plain_reply(404, "no such exchange\n"),
    };
    result.unwrap_or_else(|error| refuse(shared, peer, &error))
}

fn ok<T: Serialize>(reply: T) -> Reply {
    peer_reply(&reply)
}

fn refuse(shared: &Shared, peer: SocketAddr, error: &str) -> Reply {
    let fields = [field("peer", &peer), field("error", error)];
    shared.log.emit(&events::PEER_BAD, &fields);
    plain_reply(400, error)
}

async fn read<M: DeserializeOwned>(
    shared: &Shared,
    mut request: Incoming,
) -> Result<Message<M>, String> {
    let read = read_all(request.body_mut(), LIMIT, SPAN, &shared.timer).await;
    let bytes = read.map_err(|e| e.to_string())?;
    let value = decode(&bytes).map_err(|e| e.to_string())?;
    let length = bytes.len();
    Ok(Message { value, length })
}
