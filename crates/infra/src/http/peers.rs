//! Addresses of one service, with failover.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_net::{Client, NetError, Response, Sent};

/// Addresses of one service; the one that responded last is tried first.
#[derive(Clone, Debug)]
pub struct Peers {
    addresses: Vec<String>,
    first: Cell<usize>,
}

impl Peers {
    /// Parses a list `ip:port,ip:port`.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let addresses = text.split(',').map(|p| p.trim().to_owned()).collect();
        Self {
            addresses,
            first: Cell::new(0),
        }
    }

    /// Peers at these addresses.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self {
            addresses: addresses.iter().map(SocketAddr::to_string).collect(),
            first: Cell::new(0),
        }
    }

    /// Sends `request` to the first reachable peer. Another peer is tried only if no byte of the request
    /// was sent.
    pub(crate) async fn send(
        &self,
        client: &Client,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response, NetError> {
        let count = self.addresses.len();
        if count == 0 {
            let peer = String::from("none given");
            return Err(NetError::Address { peer });
        }
        let first = self.first.get();
        for at in first..first + count - 1 {
            let index = at % count;
            match client
                .send(&self.addresses[index], request.clone(), timeout)
                .await
            {
                Err(e) if e.sent() == Sent::No => {}
                result => return self.record_result(index, result),
            }
        }
        let last = (first + count - 1) % count;
        let result = client.send(&self.addresses[last], request, timeout).await;
        self.record_result(last, result)
    }

    fn record_result(
        &self,
        index: usize,
        result: Result<Response, NetError>,
    ) -> Result<Response, NetError> {
        let next = if result.is_ok() { index } else { index + 1 };
        self.first.set(next % self.addresses.len());
        result
    }
}

impl fmt::Display for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.addresses.join(","))
    }
}
