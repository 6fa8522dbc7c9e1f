//! One request and its whole JSON answer.

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

/// Longest answer, bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Client of one service of the platform.
#[derive(Clone)]
pub(crate) struct Exchange {
    client: Client,
    pub(crate) peers: Peers,
    timeout: Duration,
}

/// A whole answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    retry_after: Option<Duration>,
    /// Tag of this state of what was asked for.
    pub(crate) etag: Option<HeaderValue>,
    pub(crate) peer: String,
    body: Vec<u8>,
}

impl Exchange {
    pub(crate) fn new(client: &Client, peers: Peers, timeout: Duration) -> Self {
        Self {
            client: client.clone(),
            peers,
            timeout,
        }
    }

    pub(crate) async fn get(&self, path: &str, wait: Duration) -> Result<Answer, RequestError> {
        let request = request(http::Method::GET, path, Bytes::new());
        self.ask(request, wait).await
    }

    /// GET that is answered by 304 if `etag` still stands.
    pub(crate) async fn get_unless(
        &self,
        path: &str,
        etag: Option<&HeaderValue>,
    ) -> Result<Answer, RequestError> {
        let mut request = request(http::Method::GET, path, Bytes::new());
        if let Some(etag) = etag {
            request.headers_mut().insert(IF_NONE_MATCH, etag.clone());
        }
        self.ask(request, Duration::ZERO).await
    }

    pub(crate) async fn head(&self, path: &str) -> Result<Answer, RequestError> {
        let request = request(http::Method::HEAD, path, Bytes::new());
        self.ask(request, Duration::ZERO).await
    }

    pub(crate) async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<Answer, RequestError> {
        // Our bodies have text keys only, so that they always encode.
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut request = request(http::Method::POST, path, Bytes::from(body));
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        self.ask(request, Duration::ZERO).await
    }

    /// Sends `request`; `wait` is how long the peer may wait by itself before it answers.
    async fn ask(
        &self,
        request: http::Request<Bytes>,
        wait: Duration,
    ) -> Result<Answer, RequestError> {
        let span = self.timeout + wait;
        let sent = self.peers.send(&self.client, request, span).await;
        let mut response = sent.context(NetSnafu)?;
        let body = response.read(ANSWER_LIMIT, self.timeout).await;
        Ok(Answer {
            body: body.context(NetSnafu)?,
            status: response.status(),
            retry_after: retry_after(response.headers()),
            etag: response.headers().get(ETAG).cloned(),
            peer: peer_of(&response),
        })
    }
}

impl Answer {
    /// Answer of a successful exchange.
    pub(crate) fn decode<T: DeserializeOwned>(self) -> Result<T, RequestError> {
        if self.status != 200 {
            return Err(self.into_error());
        }
        self.decode_any()
    }

    /// Answer whatever its status.
    pub(crate) fn decode_any<T: DeserializeOwned>(self) -> Result<T, RequestError> {
        let peer = self.peer;
        serde_json::from_slice(&self.body).context(JsonSnafu { peer })
    }

    /// RequestError that the answer's status tells.
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
    // Names in the path were checked, so that it always parses.
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}

fn peer_of(response: &Response) -> String {
    response.peer().to_owned()
}
