//! Orders: loads through the store, slots, fencing numbers, unloads of what is in use.

use std::time::{Duration, Instant};

use futures_util::future::join;
use http::Method;
use pumicecleat_standin::{
    Engine, EngineEffects, EngineFaults, EngineOptions, RunState, Store, StoreOptions,
};
use serde_json::{Value, json};

use crate::bench::{Peer, ask, ms, run_of, test};

const LOAD: &str = "/v1/load_lora_adapter";
const UNLOAD: &str = "/v1/unload_lora_adapter";

struct OrderCase {
    name: &'static str,
    path: &'static str,
    lora: &'static str,
    weights: &'static str,
    fencing: Option<&'static str>,
    faults: EngineFaults,
    status: u16,
    resident: &'static [&'static str],
}

impl OrderCase {
    fn load(name: &'static str, lora: &'static str, status: u16) -> Self {
        Self {
            name,
            path: LOAD,
            lora,
            weights: "ok/w",
            fencing: None,
            faults: EngineFaults::default(),
            status,
            resident: &[],
        }
    }

    fn unload(name: &'static str, lora: &'static str, status: u16) -> Self {
        Self {
            path: UNLOAD,
            ..Self::load(name, lora, status)
        }
    }

    fn weights(self, weights: &'static str) -> Self {
        Self { weights, ..self }
    }

    fn fencing(self, number: &'static str) -> Self {
        let fencing = Some(number);
        Self { fencing, ..self }
    }

    fn faults(self, faults: EngineFaults) -> Self {
        Self { faults, ..self }
    }

    fn leaves(self, resident: &'static [&'static str]) -> Self {
        Self { resident, ..self }
    }
}

fn cases(check: bool) -> Vec<OrderCase> {
    let fail = EngineFaults {
        fail_loads: 1,
        ..EngineFaults::default()
    };
    let lie = EngineFaults {
        lie_loads: 1,
        ..EngineFaults::default()
    };
    let (old, kept): (u16, &[&str]) = if check {
        (409, &["a", "b"])
    } else {
        (200, &["a"])
    };
    vec![
        OrderCase::load("first", "a", 200).leaves(&["a"]),
        OrderCase::load("again", "a", 400).leaves(&["a"]),
        OrderCase::load("no weights", "b", 404)
            .weights("missing")
            .leaves(&["a"]),
        OrderCase::load("bad weights", "b", 500)
            .weights("corrupt")
            .leaves(&["a"]),
        OrderCase::load("fails", "b", 500)
            .faults(fail)
            .leaves(&["a"]),
        OrderCase::load("lies", "b", 200).faults(lie).leaves(&["a"]),
        OrderCase::load("numbered", "b", 200)
            .fencing("7")
            .leaves(&["a", "b"]),
        OrderCase::load("no slot", "c", 400)
            .fencing("7")
            .leaves(&["a", "b"]),
        OrderCase::unload("not loaded", "c", 404)
            .fencing("8")
            .leaves(&["a", "b"]),
        OrderCase::unload("no number", "a", 400)
            .fencing("x")
            .leaves(&["a", "b"]),
        OrderCase::unload("old number", "b", old)
            .fencing("7")
            .leaves(kept),
        OrderCase::unload("new number", "a", 200)
            .fencing("9")
            .leaves(&kept[1..]),
    ]
}

async fn resident(peer: &Peer) -> Vec<String> {
    let models = peer.get("/v1/models").await.json();
    let data = models["data"].as_array().unwrap();
    assert_eq!(data[0]["id"], "base");
    let name = |m: &Value| m["id"].as_str().unwrap().to_owned();
    data[1..].iter().map(name).collect()
}

#[test]
fn orders_follow_store_slots_and_fencing() {
    test(|timer| async move {
        let options = StoreOptions {
            load_ms: 5,
            ..StoreOptions::default()
        };
        let store = Store::start(options, &timer).unwrap();
        store.inject(|f| {
            f.missing = ["missing".into()].into();
            f.corrupt = ["corrupt".into()].into();
        });
        for check in [true, false] {
            let options = EngineOptions {
                slots: 2,
                store: Some(store.address.to_string()),
                check_fencing: check,
                ..EngineOptions::default()
            };
            let engine = Engine::start(options, &timer).unwrap();
            let peer = Peer::new(engine.address, &timer);
            for case in cases(check) {
                engine.set_faults(case.faults);
                let body = json!({"lora_name": case.lora, "lora_path": case.weights});
                let headers: Vec<_> = case
                    .fencing
                    .map(|n| ("x-fencing-number", n))
                    .into_iter()
                    .collect();
                let answer = peer
                    .ask(Method::POST, case.path, &headers, &body)
                    .await
                    .unwrap();
                assert_eq!(answer.status, case.status, "{}, check {check}", case.name);
                if answer.status == 409 {
                    assert_eq!(answer.json(), json!({"fencing": 8}), "{}", case.name);
                }
                assert_eq!(
                    resident(&peer).await,
                    case.resident,
                    "{}, check {check}",
                    case.name
                );
            }
            let effects: EngineEffects = peer.effects().await;
            let refused = effects.orders.iter().filter(|o| !o.accepted).count();
            assert_eq!(refused, usize::from(check));
        }
    });
}

#[test]
fn a_loading_lora_holds_its_slot() {
    test(|timer| async move {
        let store = Store::start(StoreOptions::default(), &timer).unwrap();
        let options = EngineOptions {
            slots: 1,
            store: Some(store.address.to_string()),
            ..EngineOptions::default()
        };
        let engine = Engine::start(options, &timer).unwrap();
        let peer = Peer::new(engine.address, &timer);
        let from = Instant::now();
        let second = async {
            timer.sleep(Duration::from_millis(100)).await;
            let body = json!({"lora_name": "b", "lora_path": "ok/b"});
            assert_eq!(peer.post(LOAD, &body).await.unwrap().status, 400);
            assert_eq!(resident(&peer).await, [""; 0]);
        };
        join(peer.load("a"), second).await;
        assert!(ms(from) >= 499, "{} ms", ms(from));
        assert_eq!(resident(&peer).await, ["a"]);
    });
}

#[test]
fn a_load_outlives_the_one_who_ordered_it() {
    test(|timer| async move {
        let options = StoreOptions {
            load_ms: 100,
            ..StoreOptions::default()
        };
        let store = Store::start(options, &timer).unwrap();
        let options = EngineOptions {
            store: Some(store.address.to_string()),
            ..EngineOptions::default()
        };
        let engine = Engine::start(options, &timer).unwrap();
        let peer = Peer::new(engine.address, &timer);
        let body = json!({"lora_name": "a", "lora_path": "ok/a"});
        let short = Duration::from_millis(20);
        let order = peer.open(Method::POST, LOAD, &[], &body, short);
        assert!(order.await.is_err());
        peer.effects_once(|e| e.counters.loads == 1).await;
        assert_eq!(resident(&peer).await, ["a"]);
    });
}

#[test]
fn a_load_from_before_a_restart_settles_nothing() {
    test(|timer| async move {
        let options = StoreOptions {
            load_ms: 100,
            ..StoreOptions::default()
        };
        let store = Store::start(options, &timer).unwrap();
        let options = EngineOptions {
            store: Some(store.address.to_string()),
            ..EngineOptions::default()
        };
        let engine = Engine::start(options, &timer).unwrap();
        let peer = Peer::new(engine.address, &timer);
        let body = json!({"lora_name": "a", "lora_path": "ok/a"});
        let again = async {
            timer.sleep(Duration::from_millis(50)).await;
            engine.inject(|f| {
                f.restart = true;
                f.cold_ms = 0;
            });
            peer.load("a").await;
        };
        let (first, ()) = join(peer.post(LOAD, &body), again).await;
        assert_eq!(first.unwrap().status, 500);
        let effects: EngineEffects = peer.effects().await;
        assert_eq!(effects.counters.loads, 1);
        assert_eq!(resident(&peer).await, ["a"]);
    });
}

struct EvictCase {
    name: &'static str,
    batch: usize,
    asked: Option<&'static str>,
    violations: u64,
}

#[test]
fn unloads_of_what_is_in_use_are_counted() {
    let case = |name, batch, asked, violations| EvictCase {
        name,
        batch,
        asked,
        violations,
    };
    let cases = [
        case("idle", 1, None, 0),
        case("another runs", 1, Some("b"), 0),
        case("it runs", 1, Some("a"), 1),
        case("it waits", 0, Some("a"), 1),
    ];
    test(|timer| async move {
        for case in cases {
            let options = EngineOptions {
                batch: case.batch,
                ..EngineOptions::default()
            };
            let engine = Engine::start(options, &timer).unwrap();
            let peer = Peer::new(engine.address, &timer);
            peer.load("a").await;
            peer.load("b").await;
            if let Some(lora) = case.asked {
                let asking = peer.clone();
                monoio::spawn(async move { asking.chat(&ask(lora, "hi", 10_000), "r").await });
                peer.effects_once(|e| run_of(e, "r").is_some()).await;
            }
            let body = json!({"lora_name": "a"});
            let answer = peer.post(UNLOAD, &body).await.unwrap();
            assert_eq!(answer.status, 200, "{}", case.name);
            let effects: EngineEffects = peer.effects().await;
            let counted = effects.counters.evicted_in_use;
            assert_eq!(counted, case.violations, "{}", case.name);
            let state = run_of(&effects, "r").map(|(state, _)| state);
            assert_ne!(state, Some(RunState::Broken), "{}", case.name);
        }
    });
}
