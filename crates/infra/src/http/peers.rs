//! Addresses of one service, tried in turn.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_net::{Client, NetError, Response, Sent};

/// Addresses of one service; the one that answered last goes first.
#[derive(Clone, Debug)]
pub struct Peers {
    list: Vec<String>,
    first: Cell<usize>,
}

impl Peers {
    /// Peers of a list `ip:port,ip:port`.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let list = text.split(',').map(|p| p.trim().to_owned()).collect();
        Self {
            list,
            first: Cell::new(0),
        }
    }

    /// Peers at these addresses.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self {
            list: addresses.iter().map(SocketAddr::to_string).collect(),
            first: Cell::new(0),
        }
    }

    /// Sends `request` to the first peer that takes it; only a request of which no byte left is
    /// sent to another peer.
    pub(crate) async fn send(
        &self,
        client: &Client,
        request: http::Request<Bytes>,
        span: Duration,
    ) -> Result<Response, NetError> {
        let count = self.list.len();
        if count == 0 {
            let peer = String::from("none given");
            return Err(NetError::Address { peer });
        }
        let first = self.first.get();
        for at in first..first + count - 1 {
            let index = at % count;
            match client.send(&self.list[index], request.clone(), span).await {
                Err(e) if e.sent() == Sent::No => {}
                result => return self.settle(index, result),
            }
        }
        let last = (first + count - 1) % count;
        let result = client.send(&self.list[last], request, span).await;
        self.settle(last, result)
    }

    fn settle(
        &self,
        index: usize,
        result: Result<Response, NetError>,
    ) -> Result<Response, NetError> {
        let next = if result.is_ok() { index } else { index + 1 };
        self.first.set(next % self.list.len());
        result
    }
}

impl fmt::Display for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.list.join(","))
    }
}
