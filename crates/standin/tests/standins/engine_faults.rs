//! Faults of the engine.

use std::time::{Duration, Instant};

use futures_util::future::join;
use http::Method;
use pumicecleat_net::Timer;
use pumicecleat_standin::{Engine, EngineEffects, EngineFaults, EngineOptions, RunState, Running};
use serde_json::{Value, json};

use crate::bench::{Peer, Streamed, ask, expected, ms, run_of, test};

const LORA: &str = "sky@v1";
const WRONG: &str = "sky@v1.wrong";

async fn start(timer: &Timer) -> (Running<EngineFaults>, Peer) {
    let engine = Engine::start(EngineOptions::default(), timer).unwrap();
    let peer = Peer::new(engine.address, timer);
    peer.load(LORA).await;
    (engine, peer)
}

fn whole(model: &str, count: u64) -> Streamed {
    Streamed {
        tokens: expected(model, "hi", 0, count),
        models: vec![model.into()],
        ids: vec!["chatcmpl-r".into()],
        finish: Some("length".into()),
        usage: None,
        done: true,
        broken: false,
    }
}

struct StreamCase {
    name: &'static str,
    faults: Value,
    wanted: Streamed,
}

#[test]
fn streams_go_wrong_once() {
    let cut = |count, broken| Streamed {
        finish: None,
        done: false,
        broken,
        ..whole(LORA, count)
    };
    let case = |name, faults, wanted| StreamCase {
        name,
        faults,
        wanted,
    };
    let cases = [
        case("none", json!({}), whole(LORA, 8)),
        case("dies", json!({"die_after_tokens": 3}), cut(3, true)),
        case("not done", json!({"truncate": 1}), cut(4, false)),
        case("wrong", json!({"wrong_model": 1}), whole(WRONG, 8)),
    ];
    test(|timer| async move {
        let (_, peer) = start(&timer).await;
        for case in cases {
            let set = peer.post("/faults", &case.faults).await.unwrap();
            assert_eq!(set.status, 200, "{}", case.name);
            let request = ask(LORA, "hi", 8);
            assert_eq!(
                peer.stream(&request, "r").await,
                case.wanted,
                "{}",
                case.name
            );
            let next = peer.stream(&request, "r").await;
            assert_eq!(next, whole(LORA, 8), "{}: next", case.name);
        }
        let effects: EngineEffects = peer.effects().await;
        assert_eq!((effects.counters.broken, effects.counters.done), (2, 6));
    });
}

struct WholeCase {
    name: &'static str,
    faults: Value,
    /// Status and model, or nothing if the answer breaks off.
    wanted: Option<(u16, Option<&'static str>)>,
    least_ms: u128,
}

fn whole_cases() -> Vec<WholeCase> {
    let case = |name, faults, wanted, least_ms| WholeCase {
        name,
        faults,
        wanted,
        least_ms,
    };
    let right = Some((200, Some(LORA)));
    let wrong = Some((200, Some(WRONG)));
    vec![
        case("none", json!({}), right, 0),
        case("cut", json!({"truncate": 1}), None, 0),
        case("dies", json!({"die_after_tokens": 1}), None, 0),
        case("wrong", json!({"wrong_model": 1}), wrong, 0),
        case("refused", json!({"refuse": 1}), Some((503, None)), 0),
        // From the first token, so that the second is made meanwhile.
        case("late", json!({"late_ms": 100}), right, 109),
        case("slow", json!({"slow_factor": 6.0}), right, 119),
    ]
}

#[test]
fn whole_answers_go_wrong_once() {
    test(|timer| async move {
        let (engine, peer) = start(&timer).await;
        for case in whole_cases() {
            peer.post("/faults", &case.faults).await.unwrap();
            let from = Instant::now();
            let answer = peer.chat(&ask(LORA, "hi", 2), "r").await;
            assert!(ms(from) >= case.least_ms, "{}: {} ms", case.name, ms(from));
            let got = answer.as_ref().ok().map(|a| (a.status, a.json()));
            let view = got.as_ref().map(|(s, body)| (*s, body["model"].as_str()));
            assert_eq!(view, case.wanted, "{}", case.name);
            if let Some((200, Some(model))) = view {
                let text = expected(model, "hi", 0, 2).concat();
                let body = &got.as_ref().unwrap().1;
                assert_eq!(
                    body["choices"][0]["message"]["content"], text,
                    "{}",
                    case.name
                );
            }
            if let Some((503, _)) = view {
                assert!(answer.unwrap().headers.contains_key("retry-after"));
            }
            engine.inject(|_| {});
            let next = peer.chat(&ask(LORA, "hi", 2), "r").await.unwrap();
            assert_eq!(next.status, 200, "{}: next", case.name);
        }
    });
}

#[test]
fn crossed_answers_are_swapped_whole() {
    test(|timer| async move {
        let (_, peer) = start(&timer).await;
        peer.post("/faults", &json!({"cross": 1})).await.unwrap();
        let first = ask(LORA, "first", 3);
        let second = ask(LORA, "second", 4);
        let (a, b) = join(peer.stream(&first, "a"), peer.chat(&second, "b")).await;
        let b = b.unwrap();
        assert_eq!(a.tokens, expected(LORA, "second", 0, 4));
        assert_eq!(a.ids, ["chatcmpl-b"]);
        assert_eq!(b.json()["id"], "chatcmpl-a");
        assert_eq!(b.headers["x-request-id"], "a");
        let text = expected(LORA, "first", 0, 3).concat();
        assert_eq!(b.json()["choices"][0]["message"]["content"], text);
        let own = peer.chat(&first, "a").await.unwrap();
        assert_eq!(own.json()["id"], "chatcmpl-a");
    });
}

#[test]
fn a_freeze_holds_everything_until_lifted() {
    test(|timer| async move {
        let (engine, peer) = start(&timer).await;
        let mut reader = peer.open_stream(&ask(LORA, "hi", 8), "r").await;
        engine.inject(|f| f.freeze = true);
        let short = Duration::from_millis(60);
        let health = peer.open(Method::GET, "/health", &[], &Value::Null, short);
        assert!(health.await.is_err());
        let before: EngineEffects = peer.effects().await;
        timer.sleep(short).await;
        let after: EngineEffects = peer.effects().await;
        assert_eq!(after.counters.steps, before.counters.steps);
        engine.inject(|_| {});
        while reader.read().await {}
        assert_eq!(reader.streamed, whole(LORA, 8));
        assert_eq!(peer.get("/health").await.status, 200);
    });
}

#[test]
fn a_restart_drops_loras_and_requests() {
    test(|timer| async move {
        let (_, peer) = start(&timer).await;
        let mut reader = peer.open_stream(&ask(LORA, "hi", 10_000), "r").await;
        let faults = json!({"restart": true, "cold_ms": 600});
        let from = Instant::now();
        let shown = peer.post("/faults", &faults).await.unwrap();
        assert_eq!(shown.json()["restart"], false);
        while reader.read().await {}
        assert!(reader.streamed.broken && !reader.streamed.done);
        assert_eq!(peer.get("/health").await.status, 503);
        assert_eq!(
            peer.chat(&ask(LORA, "hi", 1), "s").await.unwrap().status,
            503
        );
        while peer.get("/health").await.status != 200 {
            timer.sleep(Duration::from_millis(5)).await;
        }
        assert!(ms(from) >= 599, "{} ms", ms(from));
        assert_eq!(
            peer.chat(&ask(LORA, "hi", 1), "s").await.unwrap().status,
            404
        );
        let effects: EngineEffects = peer.effects().await;
        let (state, _) = run_of(&effects, "r").unwrap();
        assert_eq!(state, RunState::Broken);
        assert_eq!(run_of(&effects, "s"), None);
    });
}
