//! Sends a request and reads the complete JSON response.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::header::{CONTENT_TYPE, ETAG, IF_NONE_MATCH};
use pumicecleat_net::{Client, Response, retry_after};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::RequestError;
use crate::http::Peers;
use crate::http::error::{JsonSnafu, NetSnafu, StatusSnafu};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Client of one platform service.
#[derive(Clone)]
pub(crate) struct ServiceClient {
    client: Client,
    pub(crate) peers: Peers,
    timeout: Duration,
}

/// Response with its complete body.
pub(crate) struct BufferedResponse {
    pub(crate) status: u16,
    retry_after: Option<Duration>,
    /// Entity tag of the returned state.
    pub(crate) etag: Option<HeaderValue>,
    pub(crate) peer: String,
    body: Vec<u8>,
}

impl ServiceClient {
    pub(crate) fn new(client: &Client, peers: Peers, timeout: Duration) -> Self {
        Self {
            client: client.clone(),
            peers,
            timeout,
        }
    }

    pub(crate) async fn get(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<BufferedResponse, RequestError> {
        let request = request(http::Method::GET, path, Bytes::new());
        self.send(request, wait).await
    }

    /// Conditional GET; the response is 304 if `etag` is still current.
    pub(crate) async fn get_if_changed(
        &self,
        path: &str,
        etag: Option<&HeaderValue>,
    ) -> Result<BufferedResponse, RequestError> {
        let mut request = request(http::Method::GET, path, Bytes::new());
        if let Some(etag) = etag {
            request.headers_mut().insert(IF_NONE_MATCH, etag.clone());
        }
        self.send(request, Duration::ZERO).await
    }

    pub(crate) async fn head(&self, path: &str) -> Result<BufferedResponse, RequestError> {
        let request = request(http::Method::HEAD, path, Bytes::new());
        self.send(request, Duration::ZERO).await
    }

    pub(crate) async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<BufferedResponse, RequestError> {
        // Encoding cannot fail: all map keys in request bodies are strings.
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut request = request(http::Method::POST, path, Bytes::from(body));
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        self.send(request, Duration::ZERO).await
    }

    /// Sends `request`; `wait` is the time that the peer may wait before it responds.
    async fn send(
        &self,
        request: http::Request<Bytes>,
        wait: Duration,
    ) -> Result<BufferedResponse, RequestError> {
        let timeout = self.timeout + wait;
        let sent = self.peers.send(&self.client, request, timeout).await;
        let mut response = sent.context(NetSnafu)?;
        let body = response.read(MAX_RESPONSE_BYTES, self.timeout).await;
        Ok(BufferedResponse {
            body: body.context(NetSnafu)?,
            status: response.status(),
            retry_after: retry_after(response.headers()),
            etag: response.headers().get(ETAG).cloned(),
            peer: peer_of(&response),
        })
    }
}

impl BufferedResponse {
    /// Decodes the body of a successful response.
    pub(crate) fn decode<T: DeserializeOwned>(self) -> Result<T, RequestError> {
        if self.status != 200 {
            return Err(self.into_error());
        }
        self.decode_any()
    }

    /// Decodes the body whatever the status.
    pub(crate) fn decode_any<T: DeserializeOwned>(self) -> Result<T, RequestError> {
        let peer = self.peer;
        serde_json::from_slice(&self.body).context(JsonSnafu { peer })
    }

    /// Error for the status of the response.
    pub(crate) fn into_error(self) -> RequestError {
        StatusSnafu {
            peer: self.peer,
            status: self.status,
            retry_after: self.retry_after,
        }
        .build()
    }
}

fn request(method: http::Method, path: &str, body: Bytes) -> http::Request<Bytes> {
    let mut request = http::Request::new(body);
    *request.method_mut() = method;
    // Parsing cannot fail: the names in the path have been checked.
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}

fn peer_of(response: &Response) -> String {
    response.peer().to_owned()
}
