//! Bad input: each a clear error, and nothing reaches a side.

use bytes::Bytes;
use http::{HeaderValue, Method};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use serde_json::json;

use crate::caller::{KEY, Told, chat, chat_of, post, with};
use crate::script::whole;
use crate::world::{POOL, World, case};

const CHAT: &str = "/v1/chat/completions";

/// The same request by another caller.
fn by(key: &str, request: http::Request<Bytes>) -> http::Request<Bytes> {
    with(request, "authorization", &format!("Bearer {key}"))
}

fn get(path: &str) -> http::Request<Bytes> {
    let mut request = post(path, "");
    *request.method_mut() = Method::GET;
    request
}

fn model(name: &str) -> http::Request<Bytes> {
    let messages = json!([{"role": "user", "content": "Tonight?"}]);
    chat_of(&json!({"model": name, "messages": messages}))
}

/// A request, and what it is told.
type Row = (&'static str, http::Request<Bytes>, u16, &'static str);

/// Callers and targets.
fn unknown() -> Vec<Row> {
    let mut nameless = chat(false);
    nameless.headers_mut().remove("authorization");
    let stranger = by("key-of-nobody", chat(false));
    let basic = with(chat(false), "authorization", "Basic a2V5");
    let guest = "key-of-guest";
    let key = "invalid_api_key";
    let model_fault = "model_not_found";
    let route = "route_not_found";
    let dotted = post("/seats/list/../hold", "seat");
    vec![
        ("no key", nameless, 401, key),
        ("unknown key", stranger, 401, key),
        ("other scheme", basic, 401, key),
        ("unknown adapter", model("moon@v1"), 404, model_fault),
        ("unknown version", model("tour@v9"), 404, model_fault),
        ("no default version", model("brief"), 404, model_fault),
        ("closed adapter", by(guest, chat(false)), 404, model_fault),
        (
            "closed service",
            by(guest, get("/seats/list")),
            403,
            "forbidden",
        ),
        ("unknown path", get("/seats/map"), 404, route),
        ("path in two readings", dotted, 404, route),
        ("other method", get(CHAT), 405, "method_not_allowed"),
    ]
}

/// Bodies and headers.
fn malformed() -> Vec<Row> {
    let priority = |text| with(chat(false), "x-priority", text);
    let deadline = |text| with(chat(false), "x-deadline-ms", text);
    let empty = chat_of(&json!({"model": "tour@v1"}));
    let long = post(CHAT, vec![b'x'; 5000]);
    let bytes = post(CHAT, vec![b'"', 0xff, b'"']);
    vec![
        ("not JSON", post(CHAT, "{"), 400, "body_not_json"),
        ("not an object", post(CHAT, "[]"), 400, "body_not_json"),
        ("not UTF-8", bytes, 400, "body_not_utf8"),
        ("no messages", empty, 400, "bad_field"),
        ("too long", long, 413, "body_too_long"),
        ("no key", post("/seats/hold", "seat"), 400, "key_required"),
        ("priority too high", priority("4"), 403, "priority_too_high"),
        ("priority no number", priority("-1"), 400, "bad_priority"),
        ("deadline no number", deadline("soon"), 400, "bad_deadline"),
        ("deadline zero", deadline("0"), 400, "bad_deadline"),
    ]
}

#[test]
fn refuses_bad_requests() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let sides = world.sides(&started, POOL, 1, &[whole("Jó")]).await;
        let caller = world.caller(&started);
        for (name, request, status, code) in unknown().into_iter().chain(malformed()) {
            let told = caller.ask(request).await;
            assert_eq!(told.status, status, "{name}");
            assert_eq!(told.error(), (code.into(), "no".into()), "{name}");
            assert!(told.header("x-request-id").is_some(), "{name}");
            assert!(told.json()["error"]["type"].is_string(), "{name}");
        }
        assert_eq!(sides[0].seen().len(), 0);
        assert_eq!(caller.chat(false).await.status, 200);
    });
}

/// What a caller may not reach looks like what does not exist.
#[test]
fn tells_nothing_of_closed_adapters() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let caller = world.caller(&started);
        let closed = caller.ask(by("key-of-guest", model("tour@v1"))).await;
        let unknown = caller.ask(by("key-of-guest", model("moon@v1"))).await;
        let text = |told: &Told| String::from_utf8(told.body.clone()).unwrap();
        assert_eq!(text(&closed).replace("tour", "moon"), text(&unknown));
    });
}

#[test]
fn lists_what_a_caller_may_reach() {
    let rows = [
        (KEY, vec!["brief@v1", "tour", "tour@v1", "tour@v2"]),
        ("key-of-guest", vec!["brief@v1"]),
    ];
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        for (key, models) in rows {
            let told = world.caller(&started).ask(by(key, get("/v1/models"))).await;
            let body = told.json();
            let data = body["data"].as_array().unwrap();
            let ids: Vec<&str> = data.iter().map(|m| m["id"].as_str().unwrap()).collect();
            assert_eq!(ids, models);
        }
    });
}

/// What a head says reaches the side.
#[test]
fn passes_on_what_a_head_says() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let sides = world.sides(&started, POOL, 1, &[whole("Jó")]).await;
        let caller = world.caller(&started);
        caller.ask(model("tour")).await;
        let request = with(chat(false), "x-priority", "3");
        let request = with(request, "x-deadline-ms", "99000");
        caller.ask(request).await;
        let seen = sides[0].seen();
        assert_eq!(sides[0].body(0)["model"], json!("tour@v1"));
        assert!((4_900..=5_000).contains(&seen[0].head.time_left_ms));
        assert_eq!(seen[0].head.priority, 0);
        assert_eq!(seen[1].head.priority, 3);
        assert!((19_900..=20_000).contains(&seen[1].head.time_left_ms));
        assert_eq!(sides[0].body(1)["priority"], json!(-3));
    });
}

/// Bodies that stop or crawl.
#[test]
fn ends_slow_and_truncated_bodies() {
    let rows = [("slow", false, "408"), ("double length", true, "400")];
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&["--body-span", "200ms"]).await;
        for (name, double, status) in rows {
            let second = if double { "content-length: 7\r\n" } else { "" };
            let head = format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
                 content-length: 100\r\n{second}\r\n{{\"model\":"
            );
            let entry = started.entry.addresses().callers;
            let mut stream = TcpStream::connect_addr(entry).await.unwrap();
            stream.write_all(head.into_bytes()).await.0.unwrap();
            let (read, bytes) = stream.read(vec![0; 4096]).await;
            let text = String::from_utf8_lossy(&bytes[..read.unwrap()]).into_owned();
            assert!(
                text.starts_with(&format!("HTTP/1.1 {status}")),
                "{name}: {text}"
            );
        }
        let told = world.caller(&started).ask(get("/v1/models")).await;
        assert_eq!(told.status, 200);
        assert_eq!(
            told.headers.get("content-type"),
            Some(&HeaderValue::from_static("application/json"))
        );
    });
}
