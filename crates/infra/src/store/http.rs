//! Weight store over HTTP.

use std::time::Duration;

use pumicecleat_net::Client;

use super::{Store, StoreError};
use crate::http::{ServiceClient, check_path};
use crate::{Local, Peers};

/// Client of the weight store.
#[derive(Clone)]
pub struct HttpStore {
    client: ServiceClient,
}

impl HttpStore {
    /// Client with a `timeout` for each request.
    #[must_use]
    pub fn new(client: &Client, peers: Peers, timeout: Duration) -> Self {
        let client = ServiceClient::new(client, peers, timeout);
        Self { client }
    }

    async fn head_weights(&self, path: &str) -> Result<bool, StoreError> {
        check_path(path, &self.client.peers)?;
        let response = self.client.head(&format!("/v1/weights/{path}")).await?;
        match response.status {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(response.into_error().into()),
        }
    }
}

impl Store for HttpStore {
    fn exists<'a>(&'a self, path: &'a str) -> Local<'a, Result<bool, StoreError>> {
        Box::pin(self.head_weights(path))
    }
}
