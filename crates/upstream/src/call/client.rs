//! Sends requests to one upstream.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method};
use pumicecleat_net::{Client, Response};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::error::{JsonSnafu, NetSnafu, RequestSnafu, StatusSnafu, UnframedBodySnafu};
use super::{CallIds, is_close_delimited};
use crate::{CallError, RetryAfter};

/// Client of one upstream.
#[derive(Clone)]
pub(crate) struct UpstreamClient {
    client: Client,
    pub(crate) peer: String,
}

/// A response with its complete body.
pub(crate) struct BufferedResponse {
    pub(crate) peer: String,
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl UpstreamClient {
    pub(crate) fn new(client: &Client, peer: &str) -> Self {
        Self {
            client: client.clone(),
            peer: peer.to_owned(),
        }
    }

    /// Sends a request and returns the response once its head has arrived and its ids match `ids`.
    pub(crate) async fn send(
        &self,
        mut request: http::Request<Bytes>,
        ids: Option<&CallIds>,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        if let Some(ids) = ids {
            ids.write(request.headers_mut());
        }
        let response = self.client.send(&self.peer, request, timeout).await;
        let response = response.context(NetSnafu)?;
        if let Some(ids) = ids {
            ids.check(&self.peer, response.headers())?;
        }
        Ok(response)
    }

    /// Sends a request and reads a complete body of at most `max_bytes` bytes within `timeout`.
    pub(crate) async fn send_buffered(
        &self,
        request: http::Request<Bytes>,
        ids: Option<&CallIds>,
        max_bytes: u64,
        timeout: Duration,
    ) -> Result<BufferedResponse, CallError> {
        let is_head = request.method() == Method::HEAD;
        let timer = self.client.timer();
        let end = timer.now().0.saturating_add(to_millis(timeout));
        let mut response = self.send(request, ids, timeout).await?;
        let status = response.status();
        let headers = response.headers().clone();
        let peer = self.peer.clone();
        if !is_head && is_close_delimited(status, &headers) {
            return UnframedBodySnafu { peer }.fail();
        }
        let left = Duration::from_millis(end.saturating_sub(timer.now().0));
        let body = response.read(max_bytes, left).await.context(NetSnafu)?;
        Ok(BufferedResponse {
            peer,
            status,
            headers,
            body: Bytes::from(body),
        })
    }
}

impl BufferedResponse {
    /// Decodes the JSON body of a successful response.
    pub(crate) fn decode_json<T: DeserializeOwned>(self) -> Result<T, CallError> {
        let response = self.check_success()?;
        let peer = response.peer;
        serde_json::from_slice(&response.body).context(JsonSnafu { peer })
    }

    /// Returns the response if its status is 200.
    pub(crate) fn check_success(self) -> Result<Self, CallError> {
        if self.status == 200 {
            return Ok(self);
        }
        let retry = RetryAfter::read(&self.headers);
        StatusSnafu {
            peer: self.peer,
            status: self.status,
            retry,
        }
        .fail()
    }
}

/// Builds a request in origin form, with a JSON body or an empty one.
pub(crate) fn build_request(
    peer: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<http::Request<Bytes>, CallError> {
    let origin = path.starts_with('/') && method != Method::CONNECT;
    let (true, Ok(uri)) = (origin, path.parse()) else {
        let detail = format!("target {method} {path:?} is malformed");
        return RequestSnafu { peer, detail }.fail();
    };
    let json = !body.is_empty();
    let mut request = http::Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    if json {
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
    }
    Ok(request)
}

fn to_millis(timeout: Duration) -> u64 {
    u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX)
}
