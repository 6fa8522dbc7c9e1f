//! The answer to one request, for which memory is leased.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::Either;
use http::Version;

use crate::client::UPSTREAM_BYTES;
use crate::idle::{Exchange, Presence};
use crate::listener::{RECEIVE_BYTES, SEND_BYTES};
use crate::measured::measured;
use crate::memory::Cause;
use crate::watched::WatchedBody;
use crate::{Handler, Reply, RequestBody};

/// Memory of a request in progress beside its body, bytes: its head, what the sockets of both its connections hold.
const EXCHANGE_BYTES: u64 = (16 * 1024 + RECEIVE_BYTES + SEND_BYTES + UPSTREAM_BYTES) as u64;

/// A request as its connection gives it.
pub(crate) type Received = http::Request<hyper::body::Incoming>;

/// Answer to one request, for which memory is leased until the answer has ended.
pub(crate) fn answer(
    handler: &Rc<dyn Handler>,
    request: Received,
    peer: SocketAddr,
    presence: &Rc<Presence>,
) -> impl Future<Output = Result<http::Response<WatchedBody>, Infallible>> + Unpin + use<> {
    let mut exchange = presence.start_exchange();
    let request = request.map(|body| RequestBody::new(body, presence));
    let is_old = request.version() == Version::HTTP_10;
    if !is_old && exchange.lease.try_grow(EXCHANGE_BYTES) {
        let reply = handler.handle(request, peer);
        return Either::Right(reply.map(|reply| Ok(watched(reply, exchange))));
    }
    let (handler, presence) = (Rc::clone(handler), Rc::clone(presence));
    Either::Left(Box::pin(async move {
        let budget = &presence.budget;
        let reply = match budget.grow(&mut exchange.lease, EXCHANGE_BYTES).await {
            Ok(()) => handler.handle(request, peer).await,
            Err(no_room) => {
                budget.count(Cause::Request);
                handler.refuse(&request, peer, no_room)
            }
        };
        let reply = if is_old {
            measured(reply, budget).await
        } else {
            reply
        };
        Ok(watched(reply, exchange))
    }))
}

/// `reply`, during whose body `exchange` is in progress.
fn watched(reply: Reply, exchange: Exchange) -> http::Response<WatchedBody> {
    reply.map(|body| WatchedBody {
        body,
        _exchange: exchange,
    })
}
