//! The weight store.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::Method;
use pumicecleat_standin::{Store, StoreOptions};
use serde_json::{Value, json};

use crate::bench::{Peer, test};

struct SpeedCase {
    name: &'static str,
    slow: f64,
    /// Starts of the loads, milliseconds.
    starts: &'static [f64],
    /// Ends that follow from them, milliseconds.
    ends: &'static [f64],
}

/// Time of a load at full speed, milliseconds.
const LOAD_MS: u32 = 200;
/// Speed of all loads together when there are several.
const SHARED: f64 = 0.8;
/// Time from the moment noted as a load's start to its arrival, at most, milliseconds.
const ARRIVAL_MS: f64 = 5.0;
/// Lateness that a busy machine may add, milliseconds.
const SLACK_MS: f64 = 120.0;
/// Step of the naive model, milliseconds.
const TICK_MS: f64 = 0.05;

/// Ends of loads by a naive model: each tick every load under way does its share.
fn naive_ends(starts: &[f64], slow: f64) -> Vec<f64> {
    let mut left = vec![f64::from(LOAD_MS); starts.len()];
    let mut ends = vec![0.0; starts.len()];
    let mut now = 0.0;
    while ends.contains(&0.0) {
        let busy: Vec<usize> = (0..starts.len())
            .filter(|n| starts[*n] <= now && left[*n] > 0.0)
            .collect();
        now += TICK_MS;
        for n in &busy {
            let share = if busy.len() > 1 { SHARED / 2.0 } else { 1.0 };
            left[*n] -= TICK_MS * share / slow;
            if left[*n] <= 0.0 {
                ends[*n] = now;
            }
        }
    }
    ends
}

/// Real starts and ends of loads that are to start at `starts`.
async fn real_times(peer: &Peer, starts: &[f64]) -> Vec<(f64, f64)> {
    let path = "/v1/weights/ok/a";
    let warm = starts
        .iter()
        .map(|_| peer.ask(Method::HEAD, path, &[], &Value::Null));
    join_all(warm).await;
    let from = Instant::now();
    let since = || from.elapsed().as_secs_f64() * 1000.0;
    let loads = starts.iter().map(|start| async move {
        let span = Duration::from_secs_f64(start / 1000.0);
        peer.timer.sleep(span).await;
        let began = since();
        assert_eq!(peer.get(path).await.status, 200);
        (began, since())
    });
    join_all(loads).await
}

#[test]
fn loads_at_once_slow_each_other() {
    let case = |name, slow, starts, ends| SpeedCase {
        name,
        slow,
        starts,
        ends,
    };
    let cases = [
        case("alone", 1.0, &[0.0][..], &[200.0][..]),
        case("in turn", 1.0, &[0.0, 300.0], &[200.0, 500.0]),
        case("two at once", 1.0, &[0.0, 0.0], &[500.0, 500.0]),
        case("halfway", 1.0, &[0.0, 100.0], &[350.0, 450.0]),
        case("slow", 2.0, &[0.0], &[400.0]),
    ];
    test(|timer| async move {
        for case in cases {
            for (naive, end) in naive_ends(case.starts, case.slow).iter().zip(case.ends) {
                assert!((naive - end).abs() < 1.0, "{}: model {naive}", case.name);
            }
            let options = StoreOptions {
                load_ms: LOAD_MS,
                shared: SHARED,
                ..StoreOptions::default()
            };
            let store = Store::start(options, &timer).unwrap();
            let peer = Peer::new(store.address, &timer);
            let faults = json!({"slow_factor": case.slow});
            peer.post("/faults", &faults).await.unwrap();
            let times = real_times(&peer, case.starts).await;
            let starts: Vec<f64> = times.iter().map(|(start, _)| *start).collect();
            for ((_, end), naive) in times.iter().zip(naive_ends(&starts, case.slow)) {
                let range = naive - ARRIVAL_MS..naive + SLACK_MS;
                assert!(range.contains(end), "{}: {times:?}, {naive}", case.name);
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
