//! The engine client against the stand-in: orders, resident adapters, chat calls and faults.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{TIMEOUT, closed_address, respond_once, with_client};
use pumicecleat_net::Client;
use pumicecleat_standin::{
    ChatMessage, Engine as Standin, EngineFaults, EngineOptions, Store, StoreOptions,
    expected_tokens,
};
use pumicecleat_upstream::{
    ChatBody, ChatCall, ChatLimits, Engine, ExpectedResponse, Order, OrderError, Progress,
    ResponseErrorKind, StreamCheck, StreamEvent, VllmEngine, check_completion, load_and_confirm,
    read_body,
};

const LIMIT: usize = 1 << 16;
const LORA: &str = "sowing@v3";
const QUESTION: &str = "When to sow?";
const TOKENS: u64 = 12;

type Running = pumicecleat_standin::Running<EngineFaults>;

fn start(client: &Client, options: EngineOptions) -> (Running, VllmEngine) {
    let standin = Standin::start(options, client.timer()).unwrap();
    let engine = VllmEngine::new(client, &standin.address.to_string(), TIMEOUT);
    (standin, engine)
}

fn order(lora: &str, fence: u64) -> Order<'_> {
    let path = "weights";
    Order { lora, path, fence }
}

async fn load(engine: &VllmEngine, lora: &str, fence: u64) -> Result<bool, OrderError> {
    let loaded = load_and_confirm(engine, order(lora, fence), TIMEOUT).await?;
    assert!(loaded.resident.iter().any(|r| r == lora));
    Ok(loaded.already_resident)
}

fn body(stream: bool) -> ChatBody {
    let text = format!(
        r#"{{"model":"m","messages":[{{"role":"user","content":"{QUESTION}"}}],
            "max_tokens":{TOKENS},"stream":{stream}}}"#
    );
    ChatBody::parse(text.as_bytes(), &ChatLimits::default()).unwrap()
}

fn chat(request: &str, body: Vec<u8>) -> ChatCall {
    ChatCall {
        request: request.into(),
        attempt: 1,
        body: Bytes::from(body),
        stream: true,
    }
}

fn expect(request: &str) -> ExpectedResponse<'_> {
    ExpectedResponse {
        peer: "engine",
        model: LORA,
        request: Some(request),
    }
}

fn expected_text() -> String {
    let messages = [ChatMessage::new("user", QUESTION)];
    expected_tokens(LORA, &messages, 0, TOKENS).concat()
}

/// Adds received chunks to `progress` until the stream ends or fails.
async fn read_stream(
    engine: &VllmEngine,
    call: ChatCall,
    progress: &mut Progress,
) -> Result<(), String> {
    let request = call.request.clone();
    let mut check = StreamCheck::new(expect(request.as_str()), LIMIT);
    let mut response = engine
        .chat(call, TIMEOUT)
        .await
        .map_err(|e| e.to_string())?;
    assert_eq!(response.status(), 200);
    while let Some(chunk_bytes) = response.next().await {
        check.push(&chunk_bytes.map_err(|e| e.to_string())?);
        while let Some(event) = check.scan_event().map_err(|e| e.to_string())? {
            if let StreamEvent::Chunk(chunk) = event {
                progress.add(&chunk);
            }
        }
    }
    check.finish().map_err(|e| e.to_string())
}

#[test]
fn loads_are_confirmed() {
    with_client(|client| async move {
        let options = EngineOptions {
            slots: 2,
            ..EngineOptions::default()
        };
        let (standin, engine) = start(&client, options);
        engine.health().await.unwrap();
        assert!(!load(&engine, "a@1", 5).await.unwrap());
        assert!(load(&engine, "a@1", 5).await.unwrap());
        assert_eq!(engine.resident().await.unwrap(), ["a@1"]);
        standin.inject(|f| f.lie_loads = 1);
        let lie = load(&engine, "b@1", 5).await.unwrap_err();
        assert!(matches!(lie, OrderError::Unconfirmed { .. }), "{lie}");
        standin.inject(|f| f.fail_loads = 1);
        let failed = load(&engine, "b@1", 5).await.unwrap_err();
        assert!(
            matches!(failed, OrderError::Failed { status: 500, .. }),
            "{failed}"
        );
        assert!(!load(&engine, "b@1", 5).await.unwrap());
        let full = load(&engine, "c@1", 5).await.unwrap_err();
        assert!(matches!(full, OrderError::NoSlot { .. }), "{full}");
        let stale = load(&engine, "c@1", 4).await.unwrap_err();
        assert!(
            matches!(stale, OrderError::Stale { fencing: 5, .. }),
            "{stale}"
        );
        let stale = engine.unload(order("a@1", 4), TIMEOUT).await.unwrap_err();
        assert!(
            matches!(stale, OrderError::Stale { fencing: 5, .. }),
            "{stale}"
        );
        engine.unload(order("a@1", 6), TIMEOUT).await.unwrap();
        engine.unload(order("a@1", 6), TIMEOUT).await.unwrap();
        assert_eq!(engine.resident().await.unwrap(), ["b@1"]);
    });
}

#[test]
fn missing_weights_are_reported() {
    with_client(|client| async move {
        let store = Store::start(StoreOptions::default(), client.timer()).unwrap();
        store.inject(|f| f.missing = ["weights".to_owned()].into());
        let options = EngineOptions {
            store: Some(store.address.to_string()),
            ..EngineOptions::default()
        };
        let (_, engine) = start(&client, options);
        let error = load(&engine, LORA, 1).await.unwrap_err();
        assert!(matches!(error, OrderError::NoWeights { .. }), "{error}");
    });
}

#[test]
fn unsent_orders_differ_from_lost_ones() {
    with_client(|client| async move {
        let refused = VllmEngine::new(&client, &closed_address(), TIMEOUT);
        let error = load(&refused, LORA, 1).await.unwrap_err();
        assert!(matches!(error, OrderError::NotSent { .. }), "{error}");
        let (address, _) = respond_once("");
        let lost = VllmEngine::new(&client, &address.to_string(), TIMEOUT);
        let error = load(&lost, LORA, 1).await.unwrap_err();
        assert!(matches!(error, OrderError::Lost { .. }), "{error}");
        let (address, _) = respond_once("HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}");
        let other = VllmEngine::new(&client, &address.to_string(), TIMEOUT);
        let error = load(&other, LORA, 1).await.unwrap_err();
        assert!(
            matches!(error, OrderError::Failed { status: 409, .. }),
            "{error}"
        );
    });
}

#[test]
fn metrics_are_parsed_or_rejected() {
    with_client(|client| async move {
        let page = "# HELP vllm:num_requests_running x\nvllm:num_requests_running{engine=\"0\"} 3.0\n\
                    vllm:lora_requests_info{max_lora=\"4\",running_lora_adapters=\"a@1\",\
                    waiting_lora_adapters=\"\"} 1.0\n\
                    vllm:lora_requests_info{max_lora=\"4\",running_lora_adapters=\"b@1,c@1\",\
                    waiting_lora_adapters=\"b@1\"} 2.5e9\n";
        let waiting = "vllm:num_requests_waiting 7\n";
        for (rest, valid) in [("", false), (waiting, true)] {
            let text = format!("{page}{rest}");
            let length = text.len();
            let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}");
            let (address, _) = respond_once(reply);
            let engine = VllmEngine::new(&client, &address.to_string(), TIMEOUT);
            let metrics = engine.metrics().await;
            assert_eq!(metrics.is_ok(), valid);
            if let Ok(metrics) = metrics {
                assert_eq!((metrics.requests, metrics.waiting), (3, 7));
                assert_eq!(metrics.slots, Some(4));
                assert_eq!(metrics.loras, ["b@1", "c@1"]);
            }
        }
    });
}

#[test]
fn interrupted_stream_resumes_on_another_engine() {
    with_client(|client| async move {
        let (first, one) = start(&client, EngineOptions::default());
        let (_second, two) = start(&client, EngineOptions::default());
        load(&one, LORA, 1).await.unwrap();
        load(&two, LORA, 1).await.unwrap();
        first.inject(|f| f.die_after_tokens = Some(5));
        let body = body(true);
        let mut progress = Progress::default();
        let broken = read_stream(&one, chat("r-1", body.render(LORA, 0)), &mut progress).await;
        assert!(broken.is_err());
        assert!(progress.tokens > 0 && progress.tokens < TOKENS);
        let resumed = body.render_resumed(LORA, 0, &progress).unwrap();
        progress.resume();
        let ended = read_stream(&two, chat("r-1", resumed), &mut progress).await;
        assert_eq!(ended, Ok(()));
        assert_eq!(progress.text, expected_text());
    });
}

#[test]
fn invalid_responses_are_rejected() {
    struct Case {
        name: &'static str,
        faults: EngineFaults,
    }
    let none = EngineFaults::default;
    #[rustfmt::skip]
    let cases = [
        Case { name: "model", faults: EngineFaults { wrong_model: 2, ..none() } },
        Case { name: "cut", faults: EngineFaults { truncate: 2, ..none() } },
        Case { name: "crossed", faults: EngineFaults { cross: 1, ..none() } },
    ];
    for case in cases {
        with_client(|client| async move {
            let (standin, engine) = start(&client, EngineOptions::default());
            load(&engine, LORA, 1).await.unwrap();
            standin.set_faults(case.faults);
            let body = body(true).render(LORA, 0);
            let (mut a, mut b) = (Progress::default(), Progress::default());
            let results = futures_util::join!(
                read_stream(&engine, chat("r-1", body.clone()), &mut a),
                read_stream(&engine, chat("r-2", body), &mut b),
            );
            assert!(results.0.is_err() && results.1.is_err(), "{}", case.name);
        });
    }
}

#[test]
fn completions_are_read_and_checked() {
    with_client(|client| async move {
        let (standin, engine) = start(&client, EngineOptions::default());
        load(&engine, LORA, 1).await.unwrap();
        let call = |request| ChatCall {
            stream: false,
            ..chat(request, body(false).render(LORA, 0))
        };
        let mut response = engine.chat(call("r-1"), TIMEOUT).await.unwrap();
        let body_bytes = read_body(response.as_mut(), 1 << 20).await.unwrap();
        let checked = check_completion(expect("r-1"), &body_bytes).unwrap();
        assert_eq!(checked.usage.unwrap().completion, TOKENS);
        let mismatch = check_completion(expect("r-2"), &body_bytes).unwrap_err();
        assert!(matches!(
            mismatch.source,
            ResponseErrorKind::IdMismatch { .. }
        ));
        let mut response = engine.chat(call("r-1"), TIMEOUT).await.unwrap();
        assert!(read_body(response.as_mut(), 10).await.is_err());
        standin.inject(|f| f.truncate = 1);
        let mut response = engine.chat(call("r-1"), TIMEOUT).await.unwrap();
        assert!(read_body(response.as_mut(), 1 << 20).await.is_err());
    });
}

#[test]
fn dropping_a_response_aborts_the_request() {
    with_client(|client| async move {
        let (_standin, engine) = start(&client, EngineOptions::default());
        load(&engine, LORA, 1).await.unwrap();
        let long = String::from_utf8(body(true).render(LORA, 0)).unwrap();
        let long = long.replace(&format!("\"max_tokens\":{TOKENS}"), "\"max_tokens\":100000");
        let mut response = engine
            .chat(chat("r-1", long.into()), TIMEOUT)
            .await
            .unwrap();
        response.next().await.unwrap().unwrap();
        let metrics = engine.metrics().await.unwrap();
        assert_eq!(
            (metrics.requests, metrics.loras),
            (1, vec![LORA.to_owned()])
        );
        drop(response);
        let idle = async {
            while engine.metrics().await.unwrap().requests > 0 {
                client.timer().sleep(Duration::from_millis(5)).await;
            }
        };
        client.timer().within(TIMEOUT, idle).await.unwrap();
    });
}
