//! Listener for the readiness checks of a load balancer.

use std::future::{Future, ready};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use pumicecleat_net::{Handler, Incoming, Reply, plain_reply};

use crate::shared::Shared;

/// Handler of the readiness listener.
pub(crate) struct ReadinessHandler {
    shared: Rc<Shared>,
}

impl ReadinessHandler {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
        }
    }

    fn reply(&self, request: &Incoming) -> Reply {
        if request.uri().path() != self.shared.header_codec.ready_path() {
            return plain_reply(404, "no such page\n");
        }
        if self.shared.readiness.is_ready() {
            plain_reply(200, "ready\n")
        } else {
            plain_reply(503, "not ready\n")
        }
    }
}

impl Handler for ReadinessHandler {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        Box::pin(ready(self.reply(&request)))
    }
}
