//! Plain services over HTTP.
//!
//! An answer that names another request id or attempt than the call is taken for another call's;
//! so a service either echoes `X-Request-Id` or leaves it out.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use pumicecleat_net::Client;

use super::{Service, ServiceCall, ServiceResponse};
use crate::call::{CallIds, Exchange, IDEMPOTENCY_KEY, RequestSnafu, build, pass_back, pass_on};
use crate::{CallError, Local};

/// Client of one service.
#[derive(Clone)]
pub struct HttpService {
    exchange: Exchange,
    limit: u64,
    timeout: Duration,
}

impl HttpService {
    /// Client of the service at `peer`; an answer's body has at most `limit` bytes. `timeout` is
    /// for questions of health, calls bring their own.
    #[must_use]
    pub fn new(client: &Client, peer: &str, limit: u64, timeout: Duration) -> Self {
        Self {
            exchange: Exchange::new(client, peer),
            limit,
            timeout,
        }
    }

    async fn send_call(
        &self,
        call: &ServiceCall,
        span: Duration,
    ) -> Result<ServiceResponse, CallError> {
        let peer = &self.exchange.peer;
        let ids = CallIds::new(peer, call.request.as_str(), call.attempt)?;
        let request = self.request(call)?;
        let asked = self.exchange.ask(request, Some(&ids), self.limit, span);
        let answer = asked.await?;
        Ok(ServiceResponse {
            status: answer.status,
            headers: pass_back(&answer.headers),
            body: answer.body,
        })
    }

    fn request(&self, call: &ServiceCall) -> Result<http::Request<Bytes>, CallError> {
        let peer = &self.exchange.peer;
        let method = Method::from_bytes(call.method.as_bytes());
        let method = method.map_err(|_| self.malformed("method"))?;
        let headers = self.headers(call)?;
        let mut request = build(peer, method, &call.path, call.body.clone())?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    fn headers(&self, call: &ServiceCall) -> Result<HeaderMap, CallError> {
        let passed = pass_on(&call.headers);
        let mut headers = passed.map_err(|detail| self.malformed(&detail))?;
        headers.remove(IDEMPOTENCY_KEY);
        if let Some(key) = &call.key {
            let key = HeaderValue::from_str(key).map_err(|_| self.malformed("key"))?;
            headers.insert(IDEMPOTENCY_KEY, key);
        }
        Ok(headers)
    }

    fn malformed(&self, what: &str) -> CallError {
        let peer = &self.exchange.peer;
        let detail = format!("malformed {what}");
        RequestSnafu { peer, detail }.build()
    }

    async fn get_health(&self) -> Result<(), CallError> {
        let request = build(&self.exchange.peer, Method::GET, "/health", Bytes::new())?;
        let asked = self.exchange.ask(request, None, self.limit, self.timeout);
        asked.await?.succeed().map(|_| ())
    }
}

impl Service for HttpService {
    fn call<'a>(
        &'a self,
        call: &'a ServiceCall,
        span: Duration,
    ) -> Local<'a, Result<ServiceResponse, CallError>> {
        Box::pin(self.send_call(call, span))
    }

    fn health(&self) -> Local<'_, Result<(), CallError>> {
        Box::pin(self.get_health())
    }
}
