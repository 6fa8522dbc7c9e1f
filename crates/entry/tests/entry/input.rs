//! Invalid requests: each gets a specific error, and none reaches a side.

use bytes::Bytes;
use http::{HeaderValue, Method};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use serde_json::json;

use crate::caller::{DESK_KEY, ReceivedResponse, chat, chat_with_body, post, with_header};
use crate::fixture::{Fixture, MODEL_POOL, run_test};
use crate::script::completion_script;

const CHAT_PATH: &str = "/v1/chat/completions";

/// The same request with another caller's key.
fn with_key(key: &str, request: http::Request<Bytes>) -> http::Request<Bytes> {
    with_header(request, "authorization", &format!("Bearer {key}"))
}

fn get(path: &str) -> http::Request<Bytes> {
    let mut request = post(path, "");
    *request.method_mut() = Method::GET;
    request
}

fn model_request(name: &str) -> http::Request<Bytes> {
    let messages = json!([{"role": "user", "content": "Tonight?"}]);
    chat_with_body(&json!({"model": name, "messages": messages}))
}

/// Name, request, and the expected status and error code.
type Case = (&'static str, http::Request<Bytes>, u16, &'static str);

/// Requests with a wrong key, or for a target that is unknown or forbidden.
fn access_cases() -> Vec<Case> {
    let mut unauthenticated = chat(false);
    unauthenticated.headers_mut().remove("authorization");
    let unknown_key = with_key("key-of-nobody", chat(false));
    let basic = with_header(chat(false), "authorization", "Basic a2V5");
    let guest_key = "key-of-guest";
    let key = "invalid_api_key";
    let model_not_found = "model_not_found";
    let route = "route_not_found";
    let dotted_path = post("/seats/list/../hold", "seat");
    vec![
        ("no key", unauthenticated, 401, key),
        ("unknown key", unknown_key, 401, key),
        ("other scheme", basic, 401, key),
        (
            "unknown adapter",
            model_request("moon@v1"),
            404,
            model_not_found,
        ),
        (
            "unknown version",
            model_request("tour@v9"),
            404,
            model_not_found,
        ),
        (
            "no default version",
            model_request("brief"),
            404,
            model_not_found,
        ),
        (
            "forbidden adapter",
            with_key(guest_key, chat(false)),
            404,
            model_not_found,
        ),
        (
            "forbidden service",
            with_key(guest_key, get("/seats/list")),
            403,
            "forbidden",
        ),
        ("unknown path", get("/seats/map"), 404, route),
        ("ambiguous path", dotted_path, 404, route),
        ("other method", get(CHAT_PATH), 405, "method_not_allowed"),
    ]
}

/// Requests with an invalid body or header.
fn malformed_cases() -> Vec<Case> {
    let priority = |text| with_header(chat(false), "x-priority", text);
    let deadline = |text| with_header(chat(false), "x-deadline-ms", text);
    let no_messages = chat_with_body(&json!({"model": "tour@v1"}));
    let too_long = post(CHAT_PATH, vec![b'x'; 5000]);
    let bytes = post(CHAT_PATH, vec![b'"', 0xff, b'"']);
    vec![
        ("not JSON", post(CHAT_PATH, "{"), 400, "body_not_json"),
        ("not an object", post(CHAT_PATH, "[]"), 400, "body_not_json"),
        ("not UTF-8", bytes, 400, "body_not_utf8"),
        ("no messages", no_messages, 400, "bad_field"),
        ("too long", too_long, 413, "body_too_long"),
        (
            "no idempotency key",
            post("/seats/hold", "seat"),
            400,
            "key_required",
        ),
        ("priority too high", priority("4"), 403, "priority_too_high"),
        ("priority not a number", priority("-1"), 400, "bad_priority"),
        (
            "deadline not a number",
            deadline("soon"),
            400,
            "bad_deadline",
        ),
        ("deadline zero", deadline("0"), 400, "bad_deadline"),
    ]
}

#[test]
fn rejects_bad_requests() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let sides = fixture
            .start_sides(&started, MODEL_POOL, 1, &[completion_script("Jó")])
            .await;
        let caller = fixture.caller(&started);
        for (name, request, status, code) in access_cases().into_iter().chain(malformed_cases()) {
            let response = caller.call(request).await;
            assert_eq!(response.status, status, "{name}");
            assert_eq!(response.error(), (code.into(), "no".into()), "{name}");
            assert!(response.header("x-request-id").is_some(), "{name}");
            assert!(response.json()["error"]["type"].is_string(), "{name}");
        }
        assert_eq!(sides[0].attempts().len(), 0);
        assert_eq!(caller.chat(false).await.status, 200);
    });
}

/// The error for an adapter that the caller may not use is the one for an unknown adapter.
#[test]
fn hides_forbidden_adapters() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let caller = fixture.caller(&started);
        let forbidden = caller
            .call(with_key("key-of-guest", model_request("tour@v1")))
            .await;
        let unknown = caller
            .call(with_key("key-of-guest", model_request("moon@v1")))
            .await;
        let text = |response: &ReceivedResponse| String::from_utf8(response.body.clone()).unwrap();
        assert_eq!(text(&forbidden).replace("tour", "moon"), text(&unknown));
    });
}

#[test]
fn lists_models_that_the_caller_may_use() {
    let rows = [
        (DESK_KEY, vec!["brief@v1", "tour", "tour@v1", "tour@v2"]),
        ("key-of-guest", vec!["brief@v1"]),
    ];
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        for (key, models) in rows {
            let response = fixture
                .caller(&started)
                .call(with_key(key, get("/v1/models")))
                .await;
            let body = response.json();
            let data = body["data"].as_array().unwrap();
            let ids: Vec<&str> = data.iter().map(|m| m["id"].as_str().unwrap()).collect();
            assert_eq!(ids, models);
        }
    });
}

/// The version, the priority and the deadline of a request reach the side, with the default version
/// filled in and the deadline limited to the configured maximum.
#[test]
fn forwards_version_priority_and_deadline() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let sides = fixture
            .start_sides(&started, MODEL_POOL, 1, &[completion_script("Jó")])
            .await;
        let caller = fixture.caller(&started);
        caller.call(model_request("tour")).await;
        let request = with_header(chat(false), "x-priority", "3");
        let request = with_header(request, "x-deadline-ms", "99000");
        caller.call(request).await;
        let seen = sides[0].attempts();
        assert_eq!(sides[0].attempt_body(0)["model"], json!("tour@v1"));
        assert!((4_900..=5_000).contains(&seen[0].head.time_left_ms));
        assert_eq!(seen[0].head.priority, 0);
        assert_eq!(seen[1].head.priority, 3);
        assert!((19_900..=20_000).contains(&seen[1].head.time_left_ms));
        assert_eq!(sides[0].attempt_body(1)["priority"], json!(-3));
    });
}

/// A body that stops arriving, and a request with two different content lengths.
#[test]
fn rejects_slow_bodies_and_duplicate_lengths() {
    let rows = [("slow", false, "408"), ("double length", true, "400")];
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&["--body-span", "200ms"]).await;
        for (name, duplicate, status) in rows {
            let second = if duplicate {
                "content-length: 7\r\n"
            } else {
                ""
            };
            let head = format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
                 authorization: Bearer {DESK_KEY}\r\ncontent-length: 100\r\n{second}\r\n\
                 {{\"model\":"
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
        let response = fixture.caller(&started).call(get("/v1/models")).await;
        assert_eq!(response.status, 200);
        assert_eq!(
            response.headers.get("content-type"),
            Some(&HeaderValue::from_static("application/json"))
        );
    });
}
