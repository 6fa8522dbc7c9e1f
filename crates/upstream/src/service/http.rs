//! Client of plain HTTP services.
//!
//! A response with another request id or attempt than the call's is rejected as the response to
//! another call, so a service must echo `X-Request-Id` and `X-Attempt` or omit them.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use pumicecleat_net::Client;

use super::{Service, ServiceCall, ServiceResponse};
use crate::call::{
    CallIds, IDEMPOTENCY_KEY, RequestSnafu, UpstreamClient, build_request, forward_to_caller,
    forward_to_upstream,
};
use crate::{CallError, Local};

/// Client of one service.
#[derive(Clone)]
pub struct HttpService {
    client: UpstreamClient,
    limit: u64,
    timeout: Duration,
}

impl HttpService {
    /// Client of the service at `peer`. A response body has at most `limit` bytes. `timeout`
    /// applies to health checks; calls have their own.
    #[must_use]
    pub fn new(client: &Client, peer: &str, limit: u64, timeout: Duration) -> Self {
        Self {
            client: UpstreamClient::new(client, peer),
            limit,
            timeout,
        }
    }

    async fn send_call(
        &self,
        call: &ServiceCall,
        timeout: Duration,
    ) -> Result<ServiceResponse, CallError> {
        let peer = &self.client.peer;
        let ids = CallIds::new(peer, call.request.as_str(), call.attempt)?;
        let request = self.request(call)?;
        let response = self
            .client
            .send_buffered(request, Some(&ids), self.limit, timeout);
        let response = response.await?;
        Ok(ServiceResponse {
            status: response.status,
            headers: forward_to_caller(&response.headers),
            body: response.body,
        })
    }

    fn request(&self, call: &ServiceCall) -> Result<http::Request<Bytes>, CallError> {
        let peer = &self.client.peer;
        let method = Method::from_bytes(call.method.as_bytes());
        let method = method.map_err(|_| self.malformed("method"))?;
        let headers = self.headers(call)?;
        let mut request = build_request(peer, method, &call.path, call.body.clone())?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    fn headers(&self, call: &ServiceCall) -> Result<HeaderMap, CallError> {
        let passed = forward_to_upstream(&call.headers);
        let mut headers = passed.map_err(|detail| self.malformed(&detail))?;
        headers.remove(IDEMPOTENCY_KEY);
        if let Some(key) = &call.key {
            let key = HeaderValue::from_str(key).map_err(|_| self.malformed("key"))?;
            headers.insert(IDEMPOTENCY_KEY, key);
        }
        Ok(headers)
    }

    fn malformed(&self, what: &str) -> CallError {
        let peer = &self.client.peer;
        let detail = format!("malformed {what}");
        RequestSnafu { peer, detail }.build()
    }

    async fn get_health(&self) -> Result<(), CallError> {
        let request = build_request(&self.client.peer, Method::GET, "/health", Bytes::new())?;
        let response = self
            .client
            .send_buffered(request, None, self.limit, self.timeout);
        response.await?.check_success().map(|_| ())
    }
}

impl Service for HttpService {
    fn call<'a>(
        &'a self,
        call: &'a ServiceCall,
        timeout: Duration,
    ) -> Local<'a, Result<ServiceResponse, CallError>> {
        Box::pin(self.send_call(call, timeout))
    }

    fn health(&self) -> Local<'_, Result<(), CallError>> {
        Box::pin(self.get_health())
    }
}
