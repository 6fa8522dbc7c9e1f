//! What answers requests.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use crate::full::refused_request;
use crate::memory::{Cause, NoRoom};
use crate::{Body, RequestBody};

/// A request as it arrives.
pub type Incoming = http::Request<RequestBody>;

/// An answer.
pub type Reply = http::Response<Body>;

/// What answers requests.
pub trait Handler {
    /// Answer to `request`; dropped if the peer goes away first.
    fn handle(&self, request: Incoming, peer: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>>;

    /// Answer to `request`, for which the memory budget has no room. It promises that nothing was executed.
    fn refuse(&self, request: &Incoming, peer: SocketAddr, no_room: NoRoom) -> Reply {
        let _ = (request, peer);
        refused_request(no_room)
    }

    /// Told when the connection of `peer` is closed to make room for others.
    fn on_closed(&self, peer: SocketAddr, cause: Cause) {
        let _ = (peer, cause);
    }
}
