//! The demo's requests.

use std::io::Write;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_net::{Client, ClientOptions, Response, SseScanner};

use super::world::World;
use super::{KEY, fault};
use crate::error::CliError;

const SPAN: Duration = Duration::from_secs(30);
const EVENT: usize = 1 << 20;
const LIMIT: u64 = 1 << 20;
/// Adapters asked for, in order: more than the engines have slots.
const MODELS: [&str; 5] = [
    "sky-brief",
    "school-mail",
    "itinerary",
    "sky-brief@v1",
    "sky-brief",
];
/// Keys of the seat holds, each sent twice.
const HOLDS: [&str; 3] = ["seat-4", "seat-5", "seat-6"];

/// What the requests came to.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) whole: usize,
    pub(super) failed: usize,
    pub(super) tokens: usize,
    pub(super) loads: u64,
    pub(super) holds: usize,
    pub(super) effects: u64,
}

/// Sends all requests.
pub(super) async fn run(world: &World) -> Result<Tally, CliError> {
    let caller = Caller {
        client: Client::new_ext(ClientOptions::default(), &world.timer),
        peer: world.callers().to_string(),
    };
    let mut tally = Tally::default();
    for model in MODELS {
        let tokens = caller.chat(model).await?;
        tally.count(tokens.is_some());
        tally.tokens += tokens.unwrap_or(0);
    }
    for key in HOLDS {
        for _ in 0..2 {
            let held = caller.hold(key).await?;
            tally.count(held);
        }
        tally.holds += 1;
    }
    for engine in &world.engines {
        tally.loads += caller
            .count(&engine.address.to_string(), "/counters/loads")
            .await?;
    }
    tally.effects = caller
        .holds_made(&world.service.address.to_string())
        .await?;
    Ok(tally)
}

impl Tally {
    fn count(&mut self, whole: bool) {
        if whole {
            self.whole += 1;
        } else {
            self.failed += 1;
        }
    }
}

struct Caller {
    client: Client,
    peer: String,
}

impl Caller {
    /// Streams an answer to the terminal; its number of tokens, if it came whole.
    async fn chat(&self, model: &str) -> Result<Option<usize>, CliError> {
        let body = serde_json::json!({
            "model": model,
            "stream": true,
            "max_tokens": 12,
            "messages": [{"role": "user", "content": "What is up tonight?"}],
        });
        let request = post("/v1/chat/completions", body.to_string());
        let response = self.send(&self.peer, request).await?;
        print!("{model}: ");
        let told = print_stream(response).await?;
        println!();
        Ok(told)
    }

    async fn hold(&self, key: &str) -> Result<bool, CliError> {
        let mut request = post("/seats/hold", format!("{{\"seat\":\"{key}\"}}"));
        let value = http::HeaderValue::from_str(key).map_err(|e| fault("build request", &e))?;
        request.headers_mut().insert("idempotency-key", value);
        let mut response = self.send(&self.peer, request).await?;
        let body = response.read(LIMIT, SPAN).await;
        let body = body.map_err(|e| fault("read answer", &e))?;
        println!(
            "hold {key}: {} {}",
            response.status(),
            String::from_utf8_lossy(&body)
        );
        Ok(response.status() == 200)
    }

    async fn effects(&self, peer: &str) -> Result<serde_json::Value, CliError> {
        let mut request = http::Request::new(Bytes::new());
        *request.uri_mut() = http::Uri::from_static("/effects");
        let mut response = self.send(peer, request).await?;
        let body = response.read(LIMIT, SPAN).await;
        let body = body.map_err(|e| fault("read effects", &e))?;
        serde_json::from_slice(&body).map_err(|e| fault("read effects", &e))
    }

    async fn count(&self, peer: &str, pointer: &str) -> Result<u64, CliError> {
        let effects = self.effects(peer).await?;
        let count = effects.pointer(pointer).and_then(serde_json::Value::as_u64);
        Ok(count.unwrap_or(0))
    }

    async fn holds_made(&self, peer: &str) -> Result<u64, CliError> {
        let effects = self.effects(peer).await?;
        let rows = effects.as_array().map(Vec::as_slice).unwrap_or_default();
        Ok(rows.iter().filter_map(|r| r["count"].as_u64()).sum())
    }

    async fn send(&self, peer: &str, request: http::Request<Bytes>) -> Result<Response, CliError> {
        let sent = self.client.send(peer, request, SPAN).await;
        sent.map_err(|e| fault("send request", &e))
    }
}

fn post(path: &'static str, body: String) -> http::Request<Bytes> {
    let mut request = http::Request::new(Bytes::from(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static(path);
    let headers = request.headers_mut();
    let bearer = format!("Bearer {KEY}");
    if let Ok(value) = http::HeaderValue::from_str(&bearer) {
        headers.insert(http::header::AUTHORIZATION, value);
    }
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    request
}

/// Prints tokens as they come; their number, if the stream came to its proper end.
async fn print_stream(mut response: Response) -> Result<Option<usize>, CliError> {
    let mut scanner = SseScanner::new(EVENT);
    let mut tokens = 0;
    while let Some(piece) = response.next().await {
        let piece = piece.map_err(|e| fault("read stream", &e))?;
        scanner.push(&piece);
        while let Some(event) = scanner.scan_event().map_err(|e| fault("read stream", &e))? {
            if event.data() == b"[DONE]" {
                return Ok(Some(tokens));
            }
            tokens += print_token(event.data());
        }
    }
    println!(
        "status {}: {}",
        response.status(),
        String::from_utf8_lossy(scanner.pending())
    );
    Ok(None)
}

/// Prints an event's text, and counts it.
fn print_token(data: &[u8]) -> usize {
    let value: serde_json::Value = serde_json::from_slice(data).unwrap_or_default();
    let content = value["choices"][0]["delta"]["content"].as_str();
    let Some(text) = content.filter(|t| !t.is_empty()) else {
        return 0;
    };
    print!("{text}");
    // A terminal that is gone is no reason to stop the requests.
    let _ = std::io::stdout().flush();
    1
}
