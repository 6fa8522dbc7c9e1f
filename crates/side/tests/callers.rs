//! Keys are scoped to their caller: the same key text of two callers is two keys.

mod bench;

use std::time::Duration;

use bench::{Bench, TIMEOUT, body_of, with_bench};
use pumicecleat_side::Side;
use pumicecleat_types::Frame;

const KEY: &str = "seat-41";
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Case {
    name: &'static str,
    bodies: [&'static str; 2],
}

const CASES: [Case; 2] = [
    Case {
        name: "same body",
        bodies: ["{}", "{}"],
    },
    Case {
        name: "other body",
        bodies: ["{}", "{\"seat\":1}"],
    },
];

async fn call(bench: &Bench, side: &Side, caller: &str, key: &str, body: &str) -> Vec<Frame> {
    let mut run = bench.call("r", "/holds", Some(key), body);
    run.head.caller = caller.into();
    bench.frames(side, &run).await
}

/// Waits until the side has read the log to its end.
async fn until_keys_ready(bench: &Bench, side: &Side) {
    while !is_fresh(&call(bench, side, "school", "warm", "").await) {
        bench.timer.sleep(POLL_INTERVAL).await;
    }
}

fn is_fresh(frames: &[Frame]) -> bool {
    matches!(
        frames,
        [
            Frame::Head {
                replayed: false,
                status: 200,
                ..
            },
            ..,
            Frame::End { .. }
        ]
    )
}

#[test]
fn no_caller_gets_anothers_answer_by_its_key() {
    for case in CASES {
        with_bench(|bench| async move {
            let name = case.name;
            let side = bench.service_side("vm-1");
            bench.until_healthy("vm-1").await;
            let ready = until_keys_ready(&bench, &side);
            bench.timer.within(TIMEOUT, ready).await.unwrap();
            let first = call(&bench, &side, "school", KEY, case.bodies[0]).await;
            let other = call(&bench, &side, "club", KEY, case.bodies[1]).await;
            assert!(is_fresh(&first), "{name}: {first:?}");
            assert!(is_fresh(&other), "{name}: {other:?}");
            assert_ne!(body_of(&first), body_of(&other), "{name}");
            let again = call(&bench, &side, "school", KEY, case.bodies[0]).await;
            assert_eq!(body_of(&again), body_of(&first), "{name}");
        });
    }
}
