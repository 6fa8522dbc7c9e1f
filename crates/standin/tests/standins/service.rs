//! The plain service.

use std::time::Duration;

use http::Method;
use pumicecleat_standin::{Service, ServiceEffect, ServiceOptions};
use serde_json::{Value, json};

use crate::bench::{Peer, test};

struct Case {
    name: &'static str,
    faults: Value,
    headers: &'static [(&'static str, &'static str)],
    /// Status, or nothing if the answer doesn't come whole.
    status: Option<u16>,
    key: &'static str,
    effects: u64,
}

const KEYED: &[(&str, &str)] = &[("idempotency-key", "k"), ("x-request-id", "r")];

fn case(name: &'static str, faults: Value, status: Option<u16>, effects: u64) -> Case {
    Case {
        name,
        faults,
        headers: KEYED,
        status,
        key: "k",
        effects,
    }
}

#[test]
fn each_request_takes_effect_as_told() {
    let by_request = &KEYED[1..];
    let cases = [
        case("plain", json!({}), Some(200), 1),
        Case {
            headers: by_request,
            key: "r",
            ..case("by request id", json!({}), Some(200), 1)
        },
        case("down", json!({"down": true}), Some(503), 0),
        case("lost answer", json!({"lose_answers": 1}), None, 1),
        case("fails before", json!({"fail": 1}), Some(500), 0),
        case("fails after", json!({"fail_after": 1}), Some(500), 1),
        case("cut", json!({"truncate": 1}), None, 1),
        case("delayed", json!({"delay_ms": 20}), Some(200), 1),
    ];
    test(|timer| async move {
        for case in cases {
            let service = Service::start(ServiceOptions::default(), &timer).unwrap();
            let peer = Peer::new(service.address, &timer);
            peer.post("/faults", &case.faults).await.unwrap();
            let asked = |path| peer.ask(Method::POST, path, case.headers, &Value::Null);
            let answer = asked("/seats/hold?night=1").await;
            let status = answer.as_ref().ok().map(|a| a.status);
            assert_eq!(status, case.status, "{}", case.name);
            if status == Some(200) {
                let wanted = json!({"path": "/seats/hold", "effect": 1, "key": case.key});
                assert_eq!(answer.unwrap().json(), wanted, "{}", case.name);
            }
            let effects: Vec<ServiceEffect> = peer.effects().await;
            let count = effects.iter().map(|e| e.count).sum::<u64>();
            assert_eq!(count, case.effects, "{}", case.name);
            service.inject(|_| {});
            let again = asked("/seats/hold").await.unwrap();
            assert_eq!(again.json()["effect"], case.effects + 1, "{}", case.name);
        }
    });
}

#[test]
fn effects_are_listed_by_path_and_key() {
    test(|timer| async move {
        let service = Service::start(ServiceOptions::default(), &timer).unwrap();
        let peer = Peer::new(service.address, &timer);
        for (path, key) in [("/b", "1"), ("/a", "2"), ("/a", "1"), ("/a", "2")] {
            let headers = [("idempotency-key", key)];
            peer.ask(Method::PUT, path, &headers, &Value::Null)
                .await
                .unwrap();
        }
        assert_eq!(peer.get("/health").await.status, 200);
        let effects: Vec<ServiceEffect> = peer.effects().await;
        let view = |e: &ServiceEffect| (e.path.clone(), e.key.clone(), e.count);
        let listed: Vec<_> = effects.iter().map(view).collect();
        let row = |path: &str, key: &str, count| (path.into(), key.into(), count);
        assert_eq!(
            listed,
            [row("/a", "1", 1), row("/a", "2", 2), row("/b", "1", 1)]
        );
    });
}

#[test]
fn a_freeze_holds_requests_without_effect() {
    test(|timer| async move {
        let service = Service::start(ServiceOptions::default(), &timer).unwrap();
        let peer = Peer::new(service.address, &timer);
        service.inject(|f| f.freeze = true);
        let asking = peer.clone();
        let call = monoio::spawn(async move { asking.post("/a", &Value::Null).await });
        timer.sleep(Duration::from_millis(50)).await;
        assert_eq!(peer.effects::<Vec<ServiceEffect>>().await, []);
        service.inject(|_| {});
        assert_eq!(call.await.unwrap().json()["effect"], 1);
    });
}
