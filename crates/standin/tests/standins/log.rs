//! The log service.

use std::time::{Duration, Instant};

use futures_util::future::join;
use http::Method;
use pumicecleat_net::Timer;
use pumicecleat_standin::{Log, LogFaults, LogOptions, Running};
use serde_json::{Value, json};

use crate::bench::{Peer, ms, test};

const RECORDS: &str = "/v1/streams/config/records";

fn start(options: LogOptions, timer: &Timer) -> (Running<LogFaults>, Peer) {
    let log = Log::start(options, timer).unwrap();
    let peer = Peer::new(log.address, timer);
    (log, peer)
}

/// Append of three records.
fn three() -> Value {
    json!({"records": ["YQ==", "Yg==", "Yw=="]})
}

async fn read(peer: &Peer, query: &str) -> (u16, Vec<u64>, u64, u64) {
    let answer = peer.get(&format!("{RECORDS}?{query}")).await;
    let body = answer.json();
    let records = body["records"].as_array().cloned().unwrap_or_default();
    let offsets = records.iter().map(|r| r["offset"].as_u64().unwrap());
    let number = |name: &str| body[name].as_u64().unwrap();
    (
        answer.status,
        offsets.collect(),
        number("first"),
        number("next"),
    )
}

#[test]
fn reads_give_what_is_kept() {
    let cases = [
        ("from=2", (200, vec![2, 3, 4, 5], 2, 6)),
        ("from=3&max=2", (200, vec![3, 4], 2, 6)),
        ("from=6&max=5&wait_ms=20", (200, vec![], 2, 6)),
        ("from=1", (410, vec![], 2, 6)),
    ];
    test(|timer| async move {
        let options = LogOptions {
            keep_count: Some(4),
            ..LogOptions::default()
        };
        let (_, peer) = start(options, &timer);
        for first in [0, 3] {
            let answer = peer.post(RECORDS, &three()).await.unwrap().json();
            assert_eq!(answer["first"], first);
            assert!(answer["at"].as_u64().unwrap() > 1_600_000_000_000);
        }
        for (query, wanted) in cases {
            assert_eq!(read(&peer, query).await, wanted, "{query}");
        }
        let page = peer.get(&format!("{RECORDS}?from=5")).await.json();
        assert_eq!(page["records"][0]["data"], "Yw==");
    });
}

#[test]
fn records_are_trimmed_by_age() {
    test(|timer| async move {
        let options = LogOptions {
            keep_ms: Some(50),
            ..LogOptions::default()
        };
        let (_, peer) = start(options, &timer);
        peer.post(RECORDS, &three()).await.unwrap();
        timer.sleep(Duration::from_millis(80)).await;
        assert_eq!(read(&peer, "from=0").await, (410, vec![], 3, 3));
    });
}

#[test]
fn a_long_poll_ends_with_the_record() {
    test(|timer| async move {
        let (_, peer) = start(LogOptions::default(), &timer);
        let from = Instant::now();
        let later = async {
            timer.sleep(Duration::from_millis(50)).await;
            peer.post(RECORDS, &three()).await.unwrap();
        };
        let (page, ()) = join(read(&peer, "from=0&wait_ms=5000"), later).await;
        assert_eq!(page, (200, vec![0, 1, 2], 0, 3));
        assert!((50..4000).contains(&ms(from)), "{} ms", ms(from));
    });
}

#[test]
fn appends_are_limited() {
    test(|timer| async move {
        let options = LogOptions {
            rate: 5,
            ..LogOptions::default()
        };
        let (_, peer) = start(options, &timer);
        let mut statuses = Vec::new();
        for _ in 0..7 {
            let answer = peer.post(RECORDS, &three()).await.unwrap();
            let waits = answer.headers.contains_key("retry-after");
            assert_eq!(waits, answer.status == 429);
            statuses.push(answer.status);
        }
        assert_eq!(statuses, [200, 200, 200, 200, 200, 429, 429]);
        assert_eq!(read(&peer, "from=0&max=1").await.3, 15);
        timer.sleep(Duration::from_millis(1010)).await;
        assert_eq!(peer.post(RECORDS, &three()).await.unwrap().status, 200);
    });
}

struct FaultCase {
    name: &'static str,
    faults: Value,
    /// Status of the append, or nothing if it gets no answer.
    status: Option<u16>,
    /// Records that stand afterwards, of three before.
    stored: u64,
    first: u64,
    least_ms: u128,
}

fn fault_cases() -> Vec<FaultCase> {
    let case = |name, faults, status, stored| FaultCase {
        name,
        faults,
        status,
        stored,
        first: 0,
        least_ms: 0,
    };
    let trim = json!({"trim_before": {"config": 2}});
    vec![
        case("none", json!({}), Some(200), 6),
        case("lost reply", json!({"lose_replies": 1}), None, 6),
        case("rejected", json!({"reject": 1}), Some(503), 3),
        case("down", json!({"down": true}), Some(503), 3),
        FaultCase {
            least_ms: 200,
            ..case("stalled", json!({"stall": true}), None, 3)
        },
        FaultCase {
            least_ms: 60,
            ..case("delayed", json!({"delay_ms": 60}), Some(200), 6)
        },
        FaultCase {
            first: 2,
            ..case("trimmed", trim, Some(200), 6)
        },
    ]
}

#[test]
fn faults_of_appends() {
    test(|timer| async move {
        for case in fault_cases() {
            let (log, peer) = start(LogOptions::default(), &timer);
            peer.post(RECORDS, &three()).await.unwrap();
            peer.post("/faults", &case.faults).await.unwrap();
            let from = Instant::now();
            let span = Duration::from_millis(200);
            let append = peer.open(Method::POST, RECORDS, &[], &three(), span).await;
            assert!(ms(from) >= case.least_ms, "{}: {} ms", case.name, ms(from));
            let status = append.as_ref().ok().map(pumicecleat_net::Response::status);
            assert_eq!(status, case.status, "{}", case.name);
            if status == Some(200) {
                let faults = log.faults();
                assert_eq!((faults.reject, faults.lose_replies), (0, 0));
            }
            log.inject(|f| f.trim_before = log.faults().trim_before);
            let from = format!("from={}", case.first);
            let (_, _, first, next) = read(&peer, &from).await;
            assert_eq!((first, next), (case.first, case.stored), "{}", case.name);
        }
    });
}

#[test]
fn bad_requests_are_told() {
    test(|timer| async move {
        let (_, peer) = start(LogOptions::default(), &timer);
        for (path, body, status) in [
            ("/v1/streams/A/records", three(), 404),
            ("/v1/streams//records", three(), 404),
            (RECORDS, json!({"records": ["not base64!"]}), 400),
            (RECORDS, json!({"record": []}), 400),
            ("/faults", json!({"unknown": 1}), 400),
        ] {
            let answer = peer.post(path, &body).await.unwrap();
            assert_eq!(answer.status, status, "{path} {body}");
        }
        assert_eq!(peer.get(&format!("{RECORDS}?from=x")).await.status, 400);
    });
}
