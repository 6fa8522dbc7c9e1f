//! Engines in the vLLM form, over HTTP.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::header::{ACCEPT, HeaderName, HeaderValue};
use pumicecleat_net::Client;
use serde::{Deserialize, Serialize};

use super::metrics::read_metrics;
use super::order::{FailedSnafu, NoSlotSnafu, NoWeightsSnafu, StaleSnafu};
use super::{ChatCall, ChatResponse, Engine, EngineMetrics, Order, OrderError};
use crate::call::{CallIds, Exchange, InvalidContentSnafu, WholeAnswer, build};
use crate::{CallError, Local};

/// Fencing number of an order.
const FENCING_NUMBER: HeaderName = HeaderName::from_static("x-fencing-number");

/// Longest answer other than a chat's, bytes.
const ANSWER_LIMIT: u64 = 16 << 20;

/// Engine's words kept in an error, characters.
const DETAIL_LIMIT: usize = 200;

/// Client of one engine.
#[derive(Clone)]
pub struct VllmEngine {
    exchange: Exchange,
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
    /// Client of the engine at `peer`; `timeout` is for questions, orders bring their own.
    #[must_use]
    pub fn new(client: &Client, peer: &str, timeout: Duration) -> Self {
        Self {
            exchange: Exchange::new(client, peer),
            timeout,
        }
    }

    async fn order<T: Serialize>(
        &self,
        path: &str,
        body: &T,
        fence: u64,
        span: Duration,
    ) -> Result<WholeAnswer, OrderError> {
        // Our bodies have text keys only, so that they always encode.
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut request = self.request(Method::POST, path, Bytes::from(body))?;
        let number = HeaderValue::from(fence);
        request.headers_mut().insert(FENCING_NUMBER, number);
        let answer = self.exchange.ask(request, None, ANSWER_LIMIT, span).await?;
        check_fence(answer)
    }

    async fn post_load(&self, order: Order<'_>, span: Duration) -> Result<(), OrderError> {
        let body = LoadBody {
            lora_name: order.lora,
            lora_path: order.path,
        };
        let path = "/v1/load_lora_adapter";
        let answer = self.order(path, &body, order.fence, span).await?;
        let detail = detail_of(&answer);
        let peer = answer.peer;
        match answer.status {
            200 => Ok(()),
            400 => NoSlotSnafu { peer, detail }.fail(),
            404 => NoWeightsSnafu { peer }.fail(),
            status => fail(peer, status, detail),
        }
    }

    async fn post_unload(&self, order: Order<'_>, span: Duration) -> Result<(), OrderError> {
        let body = UnloadBody {
            lora_name: order.lora,
        };
        let path = "/v1/unload_lora_adapter";
        let answer = self.order(path, &body, order.fence, span).await?;
        match answer.status {
            200 | 404 => Ok(()),
            status => {
                let detail = detail_of(&answer);
                fail(answer.peer, status, detail)
            }
        }
    }

    async fn get(&self, path: &str) -> Result<WholeAnswer, CallError> {
        let request = self.request(Method::GET, path, Bytes::new())?;
        let asked = self.exchange.ask(request, None, ANSWER_LIMIT, self.timeout);
        asked.await?.succeed()
    }

    async fn get_models(&self) -> Result<Vec<String>, CallError> {
        let list: ModelList = self.get("/v1/models").await?.decode()?;
        let loras = list.data.into_iter().filter(|m| m.parent.is_some());
        Ok(loras.map(|m| m.id).collect())
    }

    async fn get_metrics(&self) -> Result<EngineMetrics, CallError> {
        let answer = self.get("/metrics").await?;
        let page = String::from_utf8_lossy(&answer.body);
        match read_metrics(&page) {
            Some(running) => Ok(running),
            None => InvalidContentSnafu {
                peer: answer.peer,
                detail: "metrics lack requests running or waiting",
            }
            .fail(),
        }
    }

    async fn post_chat(
        &self,
        call: ChatCall,
        span: Duration,
    ) -> Result<Box<dyn ChatResponse>, CallError> {
        let ids = CallIds::new(&self.exchange.peer, call.request.as_str(), call.attempt)?;
        let mut request = self.request(Method::POST, "/v1/chat/completions", call.body)?;
        if call.stream {
            let events = HeaderValue::from_static("text/event-stream");
            request.headers_mut().insert(ACCEPT, events);
        }
        let response = self.exchange.send(request, Some(&ids), span).await?;
        Ok(Box::new(response))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<http::Request<Bytes>, CallError> {
        build(&self.exchange.peer, method, path, body)
    }
}

impl Engine for VllmEngine {
    fn peer(&self) -> &str {
        &self.exchange.peer
    }

    fn load<'a>(&'a self, order: Order<'a>, span: Duration) -> Local<'a, Result<(), OrderError>> {
        Box::pin(self.post_load(order, span))
    }

    fn unload<'a>(&'a self, order: Order<'a>, span: Duration) -> Local<'a, Result<(), OrderError>> {
        Box::pin(self.post_unload(order, span))
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
        span: Duration,
    ) -> Local<'_, Result<Box<dyn ChatResponse>, CallError>> {
        Box::pin(self.post_chat(call, span))
    }
}

fn check_fence(answer: WholeAnswer) -> Result<WholeAnswer, OrderError> {
    if answer.status != 409 {
        return Ok(answer);
    }
    let detail = detail_of(&answer);
    let peer = answer.peer;
    match serde_json::from_slice(&answer.body) {
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

fn detail_of(answer: &WholeAnswer) -> String {
    let text = String::from_utf8_lossy(&answer.body);
    text.chars().take(DETAIL_LIMIT).collect()
}
