//! A caller.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, Method};
use pumicecleat_net::{Client, Response};
use serde_json::{Value, json};

/// Bearer key of the caller that may do most.
pub(crate) const DESK_KEY: &str = "key-of-desk";

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A caller of one entry.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) client: Client,
    pub(crate) entry: SocketAddr,
}

/// An answer, read as far as it came.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// Its proper end came.
    pub(crate) complete: bool,
}

impl Caller {
    /// Sends a request and gives its answer's head.
    pub(crate) async fn send(&self, request: http::Request<Bytes>) -> Response {
        let entry = self.entry.to_string();
        self.client.send(&entry, request, TIMEOUT).await.unwrap()
    }

    /// Sends a request and reads its answer.
    pub(crate) async fn call(&self, request: http::Request<Bytes>) -> ReceivedResponse {
        let mut response = self.send(request).await;
        read(&mut response).await
    }

    /// Asks for a chat answer.
    pub(crate) async fn chat(&self, stream: bool) -> ReceivedResponse {
        self.call(chat(stream)).await
    }
}

/// Reads an answer as far as it comes.
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

/// A chat request for the model of most cases.
pub(crate) fn chat(stream: bool) -> http::Request<Bytes> {
    chat_with_body(&json!({
        "model": "tour@v1", "stream": stream,
        "messages": [{"role": "user", "content": "Tonight?"}],
    }))
}

/// A chat request with a body.
pub(crate) fn chat_with_body(body: &Value) -> http::Request<Bytes> {
    post("/v1/chat/completions", body.to_string())
}

/// A call by the caller that may do most.
pub(crate) fn post(path: &str, body: impl Into<Bytes>) -> http::Request<Bytes> {
    let mut request = http::Request::new(body.into());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap();
    let key = HeaderValue::from_str(&format!("Bearer {DESK_KEY}")).unwrap();
    request.headers_mut().insert(AUTHORIZATION, key);
    request
}

/// The same request with one more header.
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

    /// Code and `ran` of an error.
    pub(crate) fn error(&self) -> (String, String) {
        let error = &self.json()["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        (text("code"), text("ran"))
    }

    /// Data of the events, in their order.
    pub(crate) fn events(&self) -> Vec<String> {
        let text = String::from_utf8(self.body.clone()).unwrap();
        let events = text.split("\n\n").filter(|e| !e.is_empty());
        events
            .map(|e| e.strip_prefix("data: ").unwrap().to_owned())
            .collect()
    }

    /// Events that are JSON.
    pub(crate) fn chunks(&self) -> Vec<Value> {
        let events = self.events();
        let json = events.iter().filter(|e| *e != "[DONE]");
        json.map(|e| serde_json::from_str(e).unwrap()).collect()
    }

    /// Text of a stream or a whole answer.
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
