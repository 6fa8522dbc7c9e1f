//! Answers, batching, priority and the time of steps.

use std::time::{Duration, Instant};

use futures_util::future::{join, join_all};
use pumicecleat_net::Timer;
use pumicecleat_standin::{Engine, EngineEffects, EngineFaults, EngineOptions, RunState, Running};
use serde_json::{Value, json};

use crate::bench::{Peer, Streamed, ask, expected, ms, run_of, test};

const LORA: &str = "sowing@v3";

async fn start_engine(options: EngineOptions, timer: &Timer) -> (Running<EngineFaults>, Peer) {
    let engine = Engine::start(options, timer).unwrap();
    let peer = Peer::new(engine.address, timer);
    peer.load(LORA).await;
    (engine, peer)
}

async fn start(options: EngineOptions, timer: &Timer) -> Peer {
    start_engine(options, timer).await.1
}

fn quick() -> EngineOptions {
    EngineOptions {
        step_ms: 1,
        ..EngineOptions::default()
    }
}

struct AnswerCase {
    name: &'static str,
    fields: Value,
    status: u16,
    words: u64,
    finish: &'static str,
}

fn whole(name: &'static str, fields: Value, words: u64, finish: &'static str) -> AnswerCase {
    AnswerCase {
        name,
        fields,
        status: 200,
        words,
        finish,
    }
}

fn refused(name: &'static str, fields: Value, status: u16) -> AnswerCase {
    AnswerCase {
        status,
        ..whole(name, fields, 0, "")
    }
}

fn answer_cases() -> Vec<AnswerCase> {
    let parts = json!([{"role": "user", "content": [{"type": "text", "text": "hi"}]}]);
    let both = json!({"max_tokens": 3, "max_completion_tokens": 4});
    let last = json!({"continue_final_message": true});
    vec![
        whole("natural length", json!({}), 16, "stop"),
        whole("limit", json!({"max_tokens": 3}), 3, "length"),
        whole("newer limit goes first", both, 4, "length"),
        whole("parts", json!({"messages": parts}), 16, "stop"),
        refused("unknown", json!({"model": "sowing@v4"}), 404),
        refused("no message", json!({"messages": []}), 400),
        refused("no token", json!({"max_tokens": 0}), 400),
        refused("nothing to continue", last, 400),
    ]
}

#[test]
fn answers_follow_the_request() {
    test(|timer| async move {
        let peer = start(quick(), &timer).await;
        for case in answer_cases() {
            let mut request =
                json!({"model": LORA, "messages": [{"role": "user", "content": "hi"}]});
            let fields = case.fields.as_object().unwrap().clone();
            request.as_object_mut().unwrap().extend(fields);
            let answer = peer.chat(&request, "r").await.unwrap();
            assert_eq!(answer.status, case.status, "{}", case.name);
            let body = answer.json();
            if case.status != 200 {
                assert_eq!(body["error"]["code"], case.status, "{}", case.name);
                continue;
            }
            let text = expected(LORA, "hi", 0, case.words).concat();
            let choice = &body["choices"][0];
            assert_eq!(choice["message"]["content"], text, "{}", case.name);
            assert_eq!(choice["finish_reason"], case.finish, "{}", case.name);
            assert_eq!(body["model"], LORA, "{}", case.name);
            assert_eq!(body["id"], "chatcmpl-r", "{}", case.name);
            assert_eq!(answer.headers["x-request-id"], "r", "{}", case.name);
            let usage = &body["usage"];
            assert_eq!(usage["completion_tokens"], case.words, "{}", case.name);
        }
    });
}

#[test]
fn text_differs_by_lora_message_and_place() {
    let all = [
        expected("a@v1", "hi", 0, 50),
        expected("a@v2", "hi", 0, 50),
        expected("a@v1", "ho", 0, 50),
    ];
    let words: std::collections::BTreeSet<String> = all.concat().into_iter().collect();
    assert_eq!(words.len(), 150);
}

#[test]
fn streams_carry_the_same_tokens() {
    test(|timer| async move {
        let peer = start(quick(), &timer).await;
        let mut request = ask(LORA, "hi", 5);
        request["stream_options"] = json!({"include_usage": true});
        let streamed = peer.stream(&request, "r").await;
        let usage = json!({
            "prompt_tokens": 1,
            "completion_tokens": 5,
            "total_tokens": 6,
            "prompt_tokens_details": {"cached_tokens": 0},
        });
        let wanted = Streamed {
            tokens: expected(LORA, "hi", 0, 5),
            models: vec![LORA.into()],
            ids: vec!["chatcmpl-r".into()],
            finish: Some("length".into()),
            usage: Some(usage),
            done: true,
            broken: false,
        };
        assert_eq!(streamed, wanted);
        let again = peer.stream(&request, "r").await;
        let cached = &again.usage.unwrap()["prompt_tokens_details"]["cached_tokens"];
        assert_eq!(*cached, 1);
    });
}

/// One request after the other to an engine whose cache holds ten words.
struct Cached {
    name: &'static str,
    lora: &'static str,
    messages: &'static [&'static str],
    faults: EngineFaults,
    told: Value,
}

fn cached(name: &'static str, messages: &'static [&'static str], told: i64) -> Cached {
    Cached {
        name,
        lora: LORA,
        messages,
        faults: EngineFaults::default(),
        told: json!({ "cached_tokens": told }),
    }
}

fn cached_cases() -> Vec<Cached> {
    const FIRST: &[&str] = &["a b c", "d", "e f"];
    const SECOND: &[&str] = &["b b c", "d"];
    let mut cases = vec![
        cached("new", &["a b c", "d"], 0),
        cached("goes on", FIRST, 4),
        cached("another beginning", SECOND, 0),
        cached("too much by two words", &["x y"], 0),
        cached("the end went that was not used for longest", FIRST, 4),
        cached("so did the other conversation", SECOND, 0),
        cached("too much by three words", &["p q r"], 0),
        cached("of a prompt the beginning goes last", FIRST, 3),
    ];
    let mut other = cached("another LoRA", FIRST, 0);
    other.lora = "b@v1";
    let mut hidden = cached("tells nothing", FIRST, 0);
    (hidden.faults.hide_cached, hidden.told) = (true, Value::Null);
    let mut wrong = cached("tells wrong", FIRST, -7);
    wrong.faults.false_cached = Some(-7);
    let mut restarted = cached("restarted", FIRST, 0);
    (restarted.faults.restart, restarted.faults.cold_ms) = (true, 0);
    cases.extend([other, hidden, wrong, restarted]);
    cases
}

#[test]
fn the_prefix_cache_is_limited_by_lora_and_cleared_by_a_restart() {
    test(|timer| async move {
        let options = EngineOptions {
            cache: 10,
            ..quick()
        };
        let (engine, peer) = start_engine(options, &timer).await;
        peer.load("b@v1").await;
        for case in cached_cases() {
            let restart = case.faults.restart;
            engine.set_faults(case.faults);
            if restart {
                peer.load(LORA).await;
            }
            let said = |text: &&str| json!({"role": "user", "content": text});
            let messages: Vec<Value> = case.messages.iter().map(said).collect();
            let request = json!({"model": case.lora, "messages": messages, "max_tokens": 1});
            let answer = peer.chat(&request, "r").await.unwrap();
            let told = &answer.json()["usage"]["prompt_tokens_details"];
            assert_eq!(*told, case.told, "{}", case.name);
        }
    });
}

/// A prompt of 100 words at 20 ms each, and again until it shows that it was cached.
#[test]
fn prompts_take_their_time_unless_cached() {
    test(|timer| async move {
        let options = EngineOptions {
            prefill_us: 20_000,
            ..quick()
        };
        let peer = start(options, &timer).await;
        let request = ask(LORA, &"a ".repeat(100), 1);
        let from = Instant::now();
        peer.chat(&request, "r").await.unwrap();
        assert!(ms(from) >= 2_000);
        loop {
            let from = Instant::now();
            peer.chat(&request, "r").await.unwrap();
            if ms(from) < 2_000 {
                return;
            }
        }
    });
}

#[test]
fn a_resumed_stream_equals_the_whole() {
    test(|timer| async move {
        let peer = start(quick(), &timer).await;
        let whole = expected(LORA, "hi", 0, 16);
        for limit in [None, Some(16)] {
            for cut in 1..=16 {
                let done = whole[..cut].concat();
                let mut request = json!({
                    "model": LORA,
                    "messages": [{"role": "user", "content": "hi"}, {"role": "assistant", "content": done}],
                    "continue_final_message": true,
                    "add_generation_prompt": false,
                });
                if let Some(limit) = limit {
                    request["max_tokens"] = json!((limit - cut).max(1));
                }
                let rest = peer.stream(&request, "r").await;
                let joined = done + &rest.text();
                let wanted = match (limit, cut) {
                    (Some(_), 16) => expected(LORA, "hi", 0, 17).concat(),
                    _ => whole.concat(),
                };
                assert_eq!(joined, wanted, "cut {cut}, limit {limit:?}");
                assert!(rest.done && !rest.broken, "cut {cut}, limit {limit:?}");
            }
        }
    });
}

struct StepCase {
    name: &'static str,
    slow_chance: f64,
    requests: u64,
    tokens: u64,
    steps: u64,
}

fn steps(name: &'static str, requests: u64, tokens: u64, steps: u64) -> StepCase {
    StepCase {
        name,
        slow_chance: 0.0,
        requests,
        tokens,
        steps,
    }
}

/// Time for all requests of a case to arrive at the frozen engine.
const ARRIVAL_SPAN: Duration = Duration::from_millis(150);
/// Time of the steps of every case, but for the rounding of its first instant.
const STEPS_MS: u128 = 199;

#[test]
fn steps_take_their_time_and_fill_the_batch() {
    let slow = StepCase {
        slow_chance: 1.0,
        ..steps("slow steps", 1, 10, 10)
    };
    let cases = [
        steps("one request", 1, 20, 20),
        steps("one batch", 4, 20, 20),
        steps("two batches", 8, 10, 20),
        slow,
    ];
    test(|timer| async move {
        for case in cases {
            let options = EngineOptions {
                batch: 4,
                slow_chance: case.slow_chance,
                ..EngineOptions::default()
            };
            let (engine, peer) = start_engine(options, &timer).await;
            engine.inject(|f| f.freeze = true);
            let requests = (0..case.requests).map(|n| {
                let request = ask(LORA, "hi", case.tokens);
                let peer = peer.clone();
                async move { peer.chat(&request, &n.to_string()).await.unwrap() }
            });
            let lift = async {
                timer.sleep(ARRIVAL_SPAN).await;
                engine.inject(|_| {});
                Instant::now()
            };
            let (_, from) = join(join_all(requests), lift).await;
            let took = ms(from);
            let effects: EngineEffects = peer.effects().await;
            let counters = effects.counters;
            assert_eq!(counters.steps, case.steps, "{}", case.name);
            assert_eq!(
                counters.tokens,
                case.requests * case.tokens,
                "{}",
                case.name
            );
            assert_eq!(counters.done, case.requests, "{}", case.name);
            assert!(took >= STEPS_MS, "{}: {took} ms", case.name);
        }
    });
}

#[test]
fn lower_priority_numbers_run_first() {
    test(|timer| async move {
        let options = EngineOptions {
            batch: 1,
            ..EngineOptions::default()
        };
        let peer = start(options, &timer).await;
        let first = peer.open_stream(&ask(LORA, "hi", 10_000), "first").await;
        let mut waiting = Vec::new();
        for (id, priority) in [("late", 5), ("soon", -1), ("later", 5), ("middle", 0)] {
            let mut request = ask(LORA, "hi", 2);
            request["priority"] = json!(priority);
            let asking = peer.clone();
            waiting.push(monoio::spawn(
                async move { asking.chat(&request, id).await },
            ));
            let arrived = |e: &EngineEffects| run_of(e, id) == Some((RunState::Waiting, 0));
            peer.effects_once(arrived).await;
        }
        drop(first);
        let all_left = |e: &EngineEffects| e.counters.done == 4;
        let effects = peer.effects_once(all_left).await;
        let order: Vec<&str> = effects.runs.iter().map(|r| r.request.as_str()).collect();
        assert_eq!(order, ["first", "soon", "middle", "late", "later"]);
        assert_eq!(effects.runs[0].state, RunState::Aborted);
    });
}

#[test]
fn a_caller_that_leaves_ends_its_run() {
    test(|timer| async move {
        let peer = start(EngineOptions::default(), &timer).await;
        let mut reader = peer.open_stream(&ask(LORA, "hi", 10_000), "stream").await;
        assert!(reader.read().await);
        drop(reader);
        let body = ask(LORA, "hi", 10_000);
        let short = Duration::from_millis(50);
        let path = "/v1/chat/completions";
        let headers = [("x-request-id", "whole")];
        let answer = peer.open(http::Method::POST, path, &headers, &body, short);
        assert!(answer.await.is_err());
        let effects = peer.effects_once(|e| e.counters.aborted == 2).await;
        assert!(effects.runs.iter().all(|r| r.tokens < 100), "{effects:?}");
    });
}

#[test]
fn load_figures_lag() {
    test(|timer| async move {
        let options = EngineOptions {
            metrics_lag_ms: 300,
            ..EngineOptions::default()
        };
        let peer = start(options, &timer).await;
        let from = Instant::now();
        let reader = peer.open_stream(&ask(LORA, "hi", 10_000), "r").await;
        let shown = "vllm:lora_requests_info{running_lora_adapters=\"sowing@v3\",\
            waiting_lora_adapters=\"\",max_lora=\"4\"}";
        while !peer.get("/metrics").await.text().contains(shown) {
            timer.sleep(Duration::from_millis(5)).await;
        }
        assert!(ms(from) >= 299, "{} ms", ms(from));
        drop(reader);
    });
}
