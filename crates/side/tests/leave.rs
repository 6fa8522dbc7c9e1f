//! A side that leaves: no new work, whoever still asks, and no answer cut.

mod bench;

use std::cell::Cell;
use std::time::Duration;

use bench::{Bench, SPAN, body_of, is_whole, with_bench};
use futures_util::future::join;
use pumicecleat_ops::{DrainEnd, Stop};
use pumicecleat_side::Side;
use pumicecleat_types::{Frame, Reason, RunRequest};

/// More than the engine gives within `PAUSE` and `OPEN`.
const TOKENS: u32 = 300;

/// Time for which the request stays open at least after the side was told to leave.
const OPEN: Duration = Duration::from_millis(200);

/// Time for a side to leave.
const PAUSE: Duration = Duration::from_millis(20);

struct Case {
    name: &'static str,
    vm: &'static str,
    /// Work that is under way when the side is told to leave.
    running: fn(&Bench) -> RunRequest,
    /// Work that comes later.
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

/// An idle side holds work for a while, for others to batch it with.
async fn until_running(bench: &Bench, side: &Side) {
    let running = || {
        let dump = serde_json::to_value(side.dump()).unwrap();
        dump["queue"]["load"]["running"].as_u64().unwrap_or(0)
    };
    while running() == 0 {
        bench.timer.sleep(PAUSE).await;
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
            bench.timer.within(SPAN, waiting).await.unwrap();
            let stop = Stop::by_hand();
            let goes_on = Cell::new(false);
            let leave = async {
                let end = side.finish(&stop).await;
                assert!(goes_on.get(), "{}: ended with a request open", case.name);
                end
            };
            let use_it = async {
                bench.timer.sleep(PAUSE).await;
                let late = bench.frames(&side, &(case.late)(&bench)).await;
                bench.timer.sleep(OPEN).await;
                goes_on.set(true);
                bench.service.inject(|_| {});
                let mut frames = Vec::new();
                while let Some(frame) = bench.next(&mut reader).await {
                    frames.push(frame);
                }
                (late, frames)
            };
            let (end, (late, frames)) = join(leave, use_it).await;
            let name = case.name;
            assert_eq!(end, DrainEnd::Finished, "{name}");
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
