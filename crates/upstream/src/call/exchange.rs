//! One request and its whole answer.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method};
use pumicecleat_net::{Client, Response};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::error::{JsonSnafu, NetSnafu, RequestSnafu, StatusSnafu, UnframedBodySnafu};
use super::{CallIds, ends_by_close};
use crate::{CallError, RetryAfter};

/// Client of one upstream.
#[derive(Clone)]
pub(crate) struct Exchange {
    client: Client,
    pub(crate) peer: String,
}

/// An answer read whole.
pub(crate) struct WholeAnswer {
    pub(crate) peer: String,
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Exchange {
    pub(crate) fn new(client: &Client, peer: &str) -> Self {
        Self {
            client: client.clone(),
            peer: peer.to_owned(),
        }
    }

    /// Head of the answer, once it proved to be that of this call.
    pub(crate) async fn send(
        &self,
        mut request: http::Request<Bytes>,
        ids: Option<&CallIds>,
        span: Duration,
    ) -> Result<Response, CallError> {
        if let Some(ids) = ids {
            ids.write(request.headers_mut());
        }
        let response = self.client.send(&self.peer, request, span).await;
        let response = response.context(NetSnafu)?;
        if let Some(ids) = ids {
            ids.check(&self.peer, response.headers())?;
        }
        Ok(response)
    }

    /// Answer of at most `limit` bytes, if it is provably whole within `span`.
    pub(crate) async fn ask(
        &self,
        request: http::Request<Bytes>,
        ids: Option<&CallIds>,
        limit: u64,
        span: Duration,
    ) -> Result<WholeAnswer, CallError> {
        let bodiless = request.method() == Method::HEAD;
        let timer = self.client.timer();
        let end = timer.now().0.saturating_add(as_ms(span));
        let mut response = self.send(request, ids, span).await?;
        let status = response.status();
        let headers = response.headers().clone();
        let peer = self.peer.clone();
        if !bodiless && ends_by_close(status, &headers) {
            return UnframedBodySnafu { peer }.fail();
        }
        let left = Duration::from_millis(end.saturating_sub(timer.now().0));
        let body = response.read(limit, left).await.context(NetSnafu)?;
        Ok(WholeAnswer {
            peer,
            status,
            headers,
            body: Bytes::from(body),
        })
    }
}

impl WholeAnswer {
    /// Value in the JSON of a successful answer.
    pub(crate) fn decode<T: DeserializeOwned>(self) -> Result<T, CallError> {
        let answer = self.succeed()?;
        let peer = answer.peer;
        serde_json::from_slice(&answer.body).context(JsonSnafu { peer })
    }

    /// Answer, if its status is success.
    pub(crate) fn succeed(self) -> Result<Self, CallError> {
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

/// Request for a path of the peer itself, with a JSON body or with none.
pub(crate) fn build(
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

fn as_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
