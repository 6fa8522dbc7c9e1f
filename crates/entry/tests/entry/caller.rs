//! Client of an entry, and the responses that it receives.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, Method};
use pumicecleat_net::{Client, Response};
use serde_json::{Value, json};

/// Bearer key of the caller with the most permissions.
pub(crate) const DESK_KEY: &str = "key-of-desk";

/// Timeout for a response head.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Client that sends requests to one entry.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) client: Client,
    pub(crate) entry: SocketAddr,
}

/// A response, read as far as it arrived.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// Whether the body ended properly.
    pub(crate) complete: bool,
}

impl Caller {
    /// Sends a request and returns the response once its head has arrived.
    pub(crate) async fn send(&self, request: http::Request<Bytes>) -> Response {
        let entry = self.entry.to_string();
        self.client.send(&entry, request, TIMEOUT).await.unwrap()
    }

    /// Sends a request and reads the response.
    pub(crate) async fn call(&self, request: http::Request<Bytes>) -> ReceivedResponse {
        let mut response = self.send(request).await;
        read(&mut response).await
    }

    /// Requests a chat completion.
    pub(crate) async fn chat(&self, stream: bool) -> ReceivedResponse {
        self.call(chat(stream)).await
    }
}

/// Reads a response until it ends or breaks.
pub(crate) async fn read(response: &mut Response) -> ReceivedResponse {
    let mut received = ReceivedResponse {
        status: response.status(),
        headers: response.headers().clone(),
        body: Vec::new(),
        complete: false,
    };
    loop {
        match response.next().await {
            Some(Ok(piece)) => received.body.extend_from_slice(&piece),
            Some(Err(_)) => return received,
            None => {
                received.complete = true;
                return received;
            }
        }
    }
}

/// A chat request for the model that most tests use.
pub(crate) fn chat(stream: bool) -> http::Request<Bytes> {
    chat_with_body(&json!({
        "model": "tour@v1", "stream": stream,
        "messages": [{"role": "user", "content": "Tonight?"}],
    }))
}

pub(crate) fn chat_with_body(body: &Value) -> http::Request<Bytes> {
    post("/v1/chat/completions", body.to_string())
}

/// A POST request with [`DESK_KEY`].
pub(crate) fn post(path: &str, body: impl Into<Bytes>) -> http::Request<Bytes> {
    let mut request = http::Request::new(body.into());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap();
    let key = HeaderValue::from_str(&format!("Bearer {DESK_KEY}")).unwrap();
    request.headers_mut().insert(AUTHORIZATION, key);
    request
}

/// Sets a header of a request.
pub(crate) fn with_header(
    mut request: http::Request<Bytes>,
    name: &'static str,
    value: &str,
) -> http::Request<Bytes> {
    let value = HeaderValue::from_str(value).unwrap();
    request.headers_mut().insert(name, value);
    request
}

impl ReceivedResponse {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Fields `code` and `ran` of the error in the body.
    pub(crate) fn error(&self) -> (String, String) {
        let error = &self.json()["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        (text("code"), text("ran"))
    }

    /// Data of the events, in order.
    pub(crate) fn events(&self) -> Vec<String> {
        let text = String::from_utf8(self.body.clone()).unwrap();
        let events = text.split("\n\n").filter(|e| !e.is_empty());
        events
            .map(|e| e.strip_prefix("data: ").unwrap().to_owned())
            .collect()
    }

    /// Events parsed as JSON, without `[DONE]`.
    pub(crate) fn chunks(&self) -> Vec<Value> {
        let events = self.events();
        let json = events.iter().filter(|e| *e != "[DONE]");
        json.map(|e| serde_json::from_str(e).unwrap()).collect()
    }

    /// Text of a streamed or buffered completion.
    pub(crate) fn text(&self) -> String {
        if let Ok(complete) = serde_json::from_slice::<Value>(&self.body) {
            let content = &complete["choices"][0]["message"]["content"];
            return content.as_str().unwrap_or_default().to_owned();
        }
        let chunks = self.chunks();
        let texts = chunks
            .iter()
            .map(|c| c["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        texts.collect()
    }
}
