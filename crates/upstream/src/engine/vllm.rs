//! Client of engines with the HTTP API of vLLM.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::header::{ACCEPT, HeaderName, HeaderValue};
use pumicecleat_net::Client;
use serde::{Deserialize, Serialize};

use super::metrics::parse_metrics;
use super::order::{FailedSnafu, NoSlotSnafu, NoWeightsSnafu, StaleSnafu};
use super::{ChatCall, ChatResponse, Engine, EngineMetrics, Order, OrderError};
use crate::call::{BufferedResponse, CallIds, InvalidContentSnafu, UpstreamClient, build_request};
use crate::{CallError, Local};

/// Header with the fencing number of an order.
const FENCING_NUMBER: HeaderName = HeaderName::from_static("x-fencing-number");

/// Maximum length of a response other than to a chat call, bytes.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Maximum length of an engine's message in an error, characters.
const MAX_DETAIL_CHARS: usize = 200;

/// Client of one engine.
#[derive(Clone)]
pub struct VllmEngine {
    client: UpstreamClient,
    timeout: Duration,
}

#[derive(Serialize)]
struct LoadBody<'a> {
    lora_name: &'a str,
    lora_path: &'a str,
}

#[derive(Serialize)]
struct UnloadBody<'a> {
    lora_name: &'a str,
}

#[derive(Deserialize)]
struct FencingBody {
    fencing: u64,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<Model>,
}

#[derive(Deserialize)]
struct Model {
    id: String,
    parent: Option<String>,
}

impl VllmEngine {
    /// Client of the engine at `peer`. `timeout` applies to status queries; orders and chat calls
    /// have their own.
    #[must_use]
    pub fn new(client: &Client, peer: &str, timeout: Duration) -> Self {
        Self {
            client: UpstreamClient::new(client, peer),
            timeout,
        }
    }

    async fn send_order<T: Serialize>(
        &self,
        path: &str,
        body: &T,
        fence: u64,
        timeout: Duration,
    ) -> Result<BufferedResponse, OrderError> {
        // All keys are strings, so serialization can't fail.
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut request = self.request(Method::POST, path, Bytes::from(body))?;
        let number = HeaderValue::from(fence);
        request.headers_mut().insert(FENCING_NUMBER, number);
        let response = self
            .client
            .send_buffered(request, None, MAX_RESPONSE_BYTES, timeout)
            .await?;
        check_not_stale(response)
    }

    async fn post_load(&self, order: Order<'_>, timeout: Duration) -> Result<(), OrderError> {
        let body = LoadBody {
            lora_name: order.lora,
            lora_path: order.path,
        };
        let path = "/v1/load_lora_adapter";
        let response = self.send_order(path, &body, order.fence, timeout).await?;
        let detail = response_detail(&response);
        let peer = response.peer;
        match response.status {
            200 => Ok(()),
            400 => NoSlotSnafu { peer, detail }.fail(),
            404 => NoWeightsSnafu { peer }.fail(),
            status => fail(peer, status, detail),
        }
    }

    async fn post_unload(&self, order: Order<'_>, timeout: Duration) -> Result<(), OrderError> {
        let body = UnloadBody {
            lora_name: order.lora,
        };
        let path = "/v1/unload_lora_adapter";
        let response = self.send_order(path, &body, order.fence, timeout).await?;
        match response.status {
            200 | 404 => Ok(()),
            status => {
                let detail = response_detail(&response);
                fail(response.peer, status, detail)
            }
        }
    }

    async fn get(&self, path: &str) -> Result<BufferedResponse, CallError> {
        let request = self.request(Method::GET, path, Bytes::new())?;
        let response = self
            .client
            .send_buffered(request, None, MAX_RESPONSE_BYTES, self.timeout);
        response.await?.check_success()
    }

    async fn get_models(&self) -> Result<Vec<String>, CallError> {
        let list: ModelList = self.get("/v1/models").await?.decode_json()?;
        let loras = list.data.into_iter().filter(|m| m.parent.is_some());
        Ok(loras.map(|m| m.id).collect())
    }

    async fn get_metrics(&self) -> Result<EngineMetrics, CallError> {
        let response = self.get("/metrics").await?;
        let page = String::from_utf8_lossy(&response.body);
        match parse_metrics(&page) {
            Some(metrics) => Ok(metrics),
            None => InvalidContentSnafu {
                peer: response.peer,
                detail: "metrics lack requests running or waiting",
            }
            .fail(),
        }
    }

    async fn post_chat(
        &self,
        call: ChatCall,
        timeout: Duration,
    ) -> Result<Box<dyn ChatResponse>, CallError> {
        let ids = CallIds::new(&self.client.peer, call.request.as_str(), call.attempt)?;
        let mut request = self.request(Method::POST, "/v1/chat/completions", call.body)?;
        if call.stream {
            let events = HeaderValue::from_static("text/event-stream");
            request.headers_mut().insert(ACCEPT, events);
        }
        let response = self.client.send(request, Some(&ids), timeout).await?;
        Ok(Box::new(response))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<http::Request<Bytes>, CallError> {
        build_request(&self.client.peer, method, path, body)
    }
}

impl Engine for VllmEngine {
    fn peer(&self) -> &str {
        &self.client.peer
    }

    fn load<'a>(
        &'a self,
        order: Order<'a>,
        timeout: Duration,
    ) -> Local<'a, Result<(), OrderError>> {
        Box::pin(self.post_load(order, timeout))
    }

    fn unload<'a>(
        &'a self,
        order: Order<'a>,
        timeout: Duration,
    ) -> Local<'a, Result<(), OrderError>> {
        Box::pin(self.post_unload(order, timeout))
    }

    fn resident(&self) -> Local<'_, Result<Vec<String>, CallError>> {
        Box::pin(self.get_models())
    }

    fn metrics(&self) -> Local<'_, Result<EngineMetrics, CallError>> {
        Box::pin(self.get_metrics())
    }

    fn health(&self) -> Local<'_, Result<(), CallError>> {
        Box::pin(async move { self.get("/health").await.map(|_| ()) })
    }

    fn chat(
        &self,
        call: ChatCall,
        timeout: Duration,
    ) -> Local<'_, Result<Box<dyn ChatResponse>, CallError>> {
        Box::pin(self.post_chat(call, timeout))
    }
}

fn check_not_stale(response: BufferedResponse) -> Result<BufferedResponse, OrderError> {
    if response.status != 409 {
        return Ok(response);
    }
    let detail = response_detail(&response);
    let peer = response.peer;
    match serde_json::from_slice(&response.body) {
        Ok(FencingBody { fencing }) => StaleSnafu { peer, fencing }.fail(),
        Err(_) => fail(peer, 409, detail),
    }
}

fn fail<T>(peer: String, status: u16, detail: String) -> Result<T, OrderError> {
    FailedSnafu {
        peer,
        status,
        detail,
    }
    .fail()
}

fn response_detail(response: &BufferedResponse) -> String {
    let text = String::from_utf8_lossy(&response.body);
    text.chars().take(MAX_DETAIL_CHARS).collect()
}
