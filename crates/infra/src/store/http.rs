//! Weight store over HTTP.

use std::time::Duration;

use pumicecleat_net::Client;

use super::{Store, StoreError};
use crate::http::{Exchange, check_path};
use crate::{Local, Peers};

/// Client of the weight store.
#[derive(Clone)]
pub struct HttpStore {
    exchange: Exchange,
}

impl HttpStore {
    /// Client that gives each exchange `timeout`.
    #[must_use]
    pub fn new(client: &Client, peers: Peers, timeout: Duration) -> Self {
        let exchange = Exchange::new(client, peers, timeout);
        Self { exchange }
    }

    async fn head_weights(&self, path: &str) -> Result<bool, StoreError> {
        check_path(path, &self.exchange.peers)?;
        let answer = self.exchange.head(&format!("/v1/weights/{path}")).await?;
        match answer.status {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(answer.into_error().into()),
        }
    }
}

impl Store for HttpStore {
    fn exists<'a>(&'a self, path: &'a str) -> Local<'a, Result<bool, StoreError>> {
        Box::pin(self.head_weights(path))
    }
}
