//! A client for tests, bounded in time, and the reading of streamed answers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use pumicecleat_net::{Client, ClientOptions, NetError, Response, SseScanner, Timer, run};
use pumicecleat_standin::{ChatMessage, EngineEffects, RunState};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Longest time of a test.
const TEST_SPAN: Duration = Duration::from_secs(30);
/// Longest wait for an answer.
const ANSWER_SPAN: Duration = Duration::from_secs(10);
const BODY_LIMIT: u64 = 1 << 24;
const EVENT_LIMIT: usize = 1 << 16;
const POLL_SPAN: Duration = Duration::from_millis(2);

/// Runs a test, which fails if it takes too long.
pub fn test<F: Future<Output = ()>>(body: impl FnOnce(Timer) -> F) {
    let whole = async {
        let timer = Timer::start();
        timer.within(TEST_SPAN, body(timer.clone())).await
    };
    run(whole).unwrap().expect("test takes too long");
}

/// Milliseconds since `from`.
pub fn ms(from: Instant) -> u128 {
    from.elapsed().as_millis()
}

/// Client of one stand-in.
#[derive(Clone)]
pub struct Peer {
    address: String,
    client: Client,
    /// Timer.
    pub timer: Timer,
}

/// Whole answer.
pub struct Answer {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

impl Peer {
    pub fn new(address: SocketAddr, timer: &Timer) -> Self {
        Self {
            address: address.to_string(),
            client: Client::new_ext(ClientOptions::default(), timer),
            timer: timer.clone(),
        }
    }

    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
        span: Duration,
    ) -> Result<Response, NetError> {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = match body {
            Value::Null => Bytes::new(),
            body => body.to_string().into(),
        };
        let request = request.body(body).unwrap();
        self.client.send(&self.address, request, span).await
    }

    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Answer, NetError> {
        let mut response = self.open(method, path, headers, body, ANSWER_SPAN).await?;
        let body = response.read(BODY_LIMIT, ANSWER_SPAN).await?;
        Ok(Answer {
            status: response.status(),
            headers: response.headers().clone(),
            body,
        })
    }

    pub async fn get(&self, path: &str) -> Answer {
        let answer = self.ask(Method::GET, path, &[], &Value::Null).await;
        answer.unwrap()
    }

    pub async fn post(&self, path: &str, body: &Value) -> Result<Answer, NetError> {
        self.ask(Method::POST, path, &[], body).await
    }

    pub async fn effects<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.get("/effects").await.body).unwrap()
    }

    /// Effects of an engine, once they are as wanted.
    pub async fn effects_once(&self, wanted: impl Fn(&EngineEffects) -> bool) -> EngineEffects {
        loop {
            let effects = self.effects().await;
            if wanted(&effects) {
                return effects;
            }
            self.timer.sleep(POLL_SPAN).await;
        }
    }

    pub async fn load(&self, lora: &str) {
        let body = json!({"lora_name": lora, "lora_path": format!("ok/{lora}")});
        let answer = self.post("/v1/load_lora_adapter", &body).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    pub async fn chat(&self, request: &Value, id: &str) -> Result<Answer, NetError> {
        let headers = [("x-request-id", id)];
        self.ask(Method::POST, "/v1/chat/completions", &headers, request)
            .await
    }

    pub async fn stream(&self, request: &Value, id: &str) -> Streamed {
        let mut reader = self.open_stream(request, id).await;
        while reader.read().await {}
        reader.streamed
    }

    pub async fn open_stream(&self, request: &Value, id: &str) -> StreamReader {
        let mut request = request.clone();
        request["stream"] = json!(true);
        let headers = [("x-request-id", id)];
        let path = "/v1/chat/completions";
        let response = self
            .open(Method::POST, path, &headers, &request, ANSWER_SPAN)
            .await
            .unwrap();
        assert_eq!(response.status(), 200);
        StreamReader {
            response,
            scanner: SseScanner::new(EVENT_LIMIT),
            streamed: Streamed::default(),
        }
    }
}

/// A streamed answer, as far as read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Streamed {
    pub tokens: Vec<String>,
    pub models: Vec<String>,
    pub ids: Vec<String>,
    pub finish: Option<String>,
    pub usage: Option<Value>,
    /// `[DONE]` came.
    pub done: bool,
    /// The body ended without its last chunk.
    pub broken: bool,
}

pub struct StreamReader {
    response: Response,
    scanner: SseScanner,
    pub streamed: Streamed,
}

impl StreamReader {
    /// Reads one piece; false at the end.
    pub async fn read(&mut self) -> bool {
        match self.response.next().await {
            Some(Ok(bytes)) => self.scanner.push(&bytes),
            Some(Err(_)) => {
                self.streamed.broken = true;
                return false;
            }
            None => return false,
        }
        while let Some(event) = self.scanner.scan_event().unwrap() {
            self.streamed.take(event.data());
        }
        true
    }
}

impl Streamed {
    pub fn text(&self) -> String {
        self.tokens.concat()
    }

    fn take(&mut self, data: &[u8]) {
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Value = serde_json::from_slice(data).unwrap();
        assert_eq!(chunk["object"], "chat.completion.chunk");
        push_new(&mut self.models, &chunk["model"]);
        push_new(&mut self.ids, &chunk["id"]);
        if let Some(usage) = chunk.get("usage") {
            self.usage = Some(usage.clone());
        }
        let choice = &chunk["choices"][0];
        match choice["delta"]["content"].as_str() {
            Some("") => assert_eq!(choice["delta"]["role"], "assistant"),
            Some(token) => self.tokens.push(token.into()),
            None => {}
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish = Some(reason.into());
        }
    }
}

fn push_new(list: &mut Vec<String>, value: &Value) {
    let text = value.as_str().unwrap();
    if list.last().is_none_or(|l| l != text) {
        list.push(text.into());
    }
}

/// Chat request of one user message.
pub fn ask(lora: &str, text: &str, max_tokens: u64) -> Value {
    json!({
        "model": lora,
        "messages": [ChatMessage::new("user", text)],
        "max_tokens": max_tokens,
    })
}

/// Text that `lora` must give to [`ask`].
pub fn expected(lora: &str, text: &str, from: u64, count: u64) -> Vec<String> {
    let messages = [ChatMessage::new("user", text)];
    pumicecleat_standin::expected_tokens(lora, &messages, from, count)
}

/// State and tokens of a request.
pub fn run_of(effects: &EngineEffects, request: &str) -> Option<(RunState, u64)> {
    let run = effects.runs.iter().find(|r| r.request == request)?;
    Some((run.state, run.tokens))
}
