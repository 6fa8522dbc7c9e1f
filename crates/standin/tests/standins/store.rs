//! The weight store.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::Method;
use pumicecleat_standin::{Store, StoreOptions};
use serde_json::{Value, json};

use crate::bench::{Peer, ms, test};

struct SpeedCase {
    name: &'static str,
    faults: Value,
    /// Starts of the loads, milliseconds.
    starts: &'static [u64],
    /// Ends expected, milliseconds.
    ends: &'static [u128],
}

/// Lateness that a busy machine may add, milliseconds.
const SLACK_MS: u128 = 120;

#[test]
fn loads_at_once_slow_each_other() {
    let case = |name, faults, starts, ends| SpeedCase {
        name,
        faults,
        starts,
        ends,
    };
    let slow = json!({"slow_factor": 2.0});
    let cases = [
        case("alone", json!({}), &[0][..], &[200][..]),
        case("in turn", json!({}), &[0, 300], &[200, 500]),
        case("two at once", json!({}), &[0, 0], &[500, 500]),
        // The first has 100 ms left at 100, done by 350 at a speed of 0.4, and the second too.
        case("halfway", json!({}), &[0, 100], &[350, 450]),
        case("slow", slow, &[0], &[400]),
    ];
    test(|timer| async move {
        for case in cases {
            let options = StoreOptions {
                load_ms: 200,
                ..StoreOptions::default()
            };
            let store = Store::start(options, &timer).unwrap();
            let peer = Peer::new(store.address, &timer);
            peer.post("/faults", &case.faults).await.unwrap();
            let from = Instant::now();
            let loads = case.starts.iter().map(|start| {
                let (peer, timer) = (peer.clone(), timer.clone());
                async move {
                    timer.sleep(Duration::from_millis(*start)).await;
                    assert_eq!(peer.get("/v1/weights/ok/a").await.status, 200);
                    ms(from)
                }
            });
            let ends = join_all(loads).await;
            for (end, wanted) in ends.iter().zip(case.ends) {
                let range = wanted - 2..wanted + SLACK_MS;
                assert!(range.contains(end), "{}: {ends:?}", case.name);
            }
        }
    });
}

struct AnswerCase {
    name: &'static str,
    faults: Value,
    method: Method,
    path: &'static str,
    status: u16,
    digest: bool,
}

#[test]
fn weights_carry_their_digest() {
    let case = |name, faults, status, digest| AnswerCase {
        name,
        faults,
        method: Method::GET,
        path: "/v1/weights/ok/a",
        status,
        digest,
    };
    let head = |name, faults, status| AnswerCase {
        method: Method::HEAD,
        ..case(name, faults, status, false)
    };
    let cases = [
        case("plain", json!({}), 200, true),
        head("there", json!({}), 200),
        case("missing", json!({"missing": ["ok/a"]}), 404, false),
        head("not there", json!({"missing": ["ok/a"]}), 404),
        case("another missing", json!({"missing": ["ok/b"]}), 200, true),
        case("corrupt", json!({"corrupt": ["ok/a"]}), 200, false),
        case("fails", json!({"fail": 1}), 500, false),
        case("down", json!({"down": true}), 503, false),
        AnswerCase {
            path: "/v2/weights/ok/a",
            ..case("other path", json!({}), 404, false)
        },
    ];
    test(|timer| async move {
        let options = StoreOptions {
            load_ms: 2,
            ..StoreOptions::default()
        };
        let store = Store::start(options, &timer).unwrap();
        let peer = Peer::new(store.address, &timer);
        for case in cases {
            peer.post("/faults", &case.faults).await.unwrap();
            let answer = peer.ask(case.method, case.path, &[], &Value::Null).await;
            let answer = answer.unwrap();
            assert_eq!(answer.status, case.status, "{}", case.name);
            let digest = xxhash_rust::xxh3::xxh3_64(&answer.body);
            let digest = format!("\"{digest:016x}\"");
            let etag = answer.headers.get("etag").map(http::HeaderValue::as_bytes);
            assert_eq!(
                etag == Some(digest.as_bytes()),
                case.digest,
                "{}",
                case.name
            );
        }
    });
}
