//! A leaving side refuses new work and finishes the requests under way.

mod bench;

use std::cell::Cell;
use std::time::Duration;

use bench::{Bench, TIMEOUT, body_of, is_whole, with_bench};
use futures_util::future::join;
use pumicecleat_ops::{DrainOutcome, Stop};
use pumicecleat_side::Side;
use pumicecleat_types::{Frame, Reason, RunRequest};

/// More tokens than the engine generates within `LEAVE_DELAY` and `MIN_OPEN_TIME`.
const TOKENS: u32 = 300;

/// Shortest time that the request stays open after the late request was answered.
const MIN_OPEN_TIME: Duration = Duration::from_millis(200);

/// Time given to the side to start leaving; also the poll interval.
const LEAVE_DELAY: Duration = Duration::from_millis(20);

struct Case {
    name: &'static str,
    vm: &'static str,
    /// Request that is under way when the side is told to leave.
    running: fn(&Bench) -> RunRequest,
    /// Request that arrives afterwards.
    late: fn(&Bench) -> RunRequest,
}

const CASES: [Case; 2] = [
    Case {
        name: "model",
        vm: "vm-1",
        running: |b| b.chat("running", "a", TOKENS, true),
        late: |b| b.chat("late", "a", 1, false),
    },
    Case {
        name: "service",
        vm: "vm-2",
        running: |b| b.call("running", "/list", None, ""),
        late: |b| b.call("late", "/list", None, ""),
    },
];

/// Waits until a request runs at the upstream. An idle side holds a request for a short time so
/// that it can be batched with others.
async fn until_running(bench: &Bench, side: &Side) {
    let running = || {
        let dump = serde_json::to_value(side.dump()).unwrap();
        dump["queue"]["load"]["running"].as_u64().unwrap_or(0)
    };
    while running() == 0 {
        bench.timer.sleep(LEAVE_DELAY).await;
    }
}

#[test]
fn a_leaving_side_refuses_new_work_and_ends_what_it_runs() {
    for case in CASES {
        with_bench(|bench| async move {
            let side = match case.vm {
                "vm-1" => bench.model_side(case.vm),
                _ => bench.service_side(case.vm),
            };
            bench.until_healthy(case.vm).await;
            bench.service.inject(|f| f.freeze = true);
            let mut reader = bench.send(&side, &(case.running)(&bench)).await;
            let waiting = until_running(&bench, &side);
            bench.timer.within(TIMEOUT, waiting).await.unwrap();
            let stop = Stop::without_signals();
            let released = Cell::new(false);
            let leave = async {
                let end = side.finish(&stop).await;
                assert!(
                    released.get(),
                    "{}: finished with a request open",
                    case.name
                );
                end
            };
            let requests = async {
                bench.timer.sleep(LEAVE_DELAY).await;
                let late = bench.frames(&side, &(case.late)(&bench)).await;
                bench.timer.sleep(MIN_OPEN_TIME).await;
                released.set(true);
                bench.service.inject(|_| {});
                let mut frames = Vec::new();
                while let Some(frame) = bench.next(&mut reader).await {
                    frames.push(frame);
                }
                (late, frames)
            };
            let (end, (late, frames)) = join(leave, requests).await;
            let name = case.name;
            assert_eq!(end, DrainOutcome::Finished, "{name}");
            let [Frame::Refused(refusal)] = &late[..] else {
                panic!("{name}: {late:?}");
            };
            assert_eq!(refusal.reason, Reason::Leaving, "{name}");
            assert!(is_whole(&frames), "{name}: {frames:?}");
            if name == "model" {
                let text = body_of(&frames);
                assert!(text.ends_with(b"data: [DONE]\n\n"), "{name}");
            }
        });
    }
}
