//! A side with a model engine as its upstream.

mod bench;

use std::time::Duration;

use bench::{Seen, body_of, is_whole, with_bench};
use pumicecleat_standin::{ChatMessage, EngineFaults, expected_tokens};
use pumicecleat_types::{Frame, Ran, Reason};

fn expected_text(adapter: &str, tokens: u64) -> String {
    let messages = [ChatMessage::new("user", "tonight?")];
    expected_tokens(&format!("{adapter}@v1"), &messages, 0, tokens).concat()
}

fn completion_text(frames: &[Frame]) -> String {
    let body: serde_json::Value = serde_json::from_slice(&body_of(frames)).unwrap();
    body["choices"][0]["message"]["content"]
        .as_str()
        .unwrap()
        .to_owned()
}

#[test]
fn an_absent_adapter_is_loaded_and_answers_whole() {
    with_bench(|bench| async move {
        let side = bench.ready_model_side("vm-1").await;
        for adapter in ["a", "b", "c", "a"] {
            let frames = bench
                .frames(&side, &bench.chat(adapter, adapter, 5, false))
                .await;
            assert!(
                matches!(frames.first(), Some(Frame::Head { status: 200, .. })),
                "{frames:?}"
            );
            assert!(is_whole(&frames), "{frames:?}");
            assert_eq!(completion_text(&frames), expected_text(adapter, 5));
        }
        let effects = bench.effects(bench.engine.address).await;
        assert_eq!(effects["counters"]["evicted_in_use"], 0);
        assert_eq!(effects["counters"]["loads"], 4);
    });
}

#[test]
fn a_stream_gives_each_token_and_its_end() {
    with_bench(|bench| async move {
        let side = bench.ready_model_side("vm-1").await;
        let frames = bench.frames(&side, &bench.chat("r", "a", 20, true)).await;
        let text = String::from_utf8(body_of(&frames)).unwrap();
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        assert!(
            frames.len() > 15,
            "tokens are not streamed one by one: {} frames",
            frames.len()
        );
        assert!(is_whole(&frames));
    });
}

struct Fault {
    name: &'static str,
    faults: fn(&mut EngineFaults),
    stream: bool,
    /// Whether the attempt may end with this frame.
    may_end: fn(&Frame) -> bool,
}

const fn fault(
    name: &'static str,
    faults: fn(&mut EngineFaults),
    stream: bool,
    may_end: fn(&Frame) -> bool,
) -> Fault {
    Fault {
        name,
        faults,
        stream,
        may_end,
    }
}

fn is_broken(frame: &Frame) -> bool {
    matches!(frame, Frame::Broken { ran, .. } if *ran != Ran::No)
}

fn is_refused(frame: &Frame) -> bool {
    matches!(frame, Frame::Refused(_))
}

const FAULTS: [Fault; 7] = [
    fault(
        "other model, whole",
        |f| f.wrong_model = 1,
        false,
        is_broken,
    ),
    fault(
        "other model, stream",
        |f| f.wrong_model = 1,
        true,
        is_broken,
    ),
    fault("cut, whole", |f| f.truncate = 1, false, is_broken),
    fault("cut, stream", |f| f.truncate = 1, true, is_broken),
    fault("dies", |f| f.die_after_tokens = Some(2), true, is_broken),
    fault("freezes", |f| f.freeze = true, true, is_broken),
    fault("refuses", |f| f.refuse = 1, false, is_refused),
];

#[test]
fn a_wrong_or_broken_answer_is_never_whole() {
    for fault in FAULTS {
        with_bench(|bench| async move {
            let side = bench.ready_model_side("vm-1").await;
            bench
                .frames(&side, &bench.chat("warm", "a", 1, false))
                .await;
            bench.engine.inject(fault.faults);
            let mut run = bench.chat("r", "a", 8, fault.stream);
            run.head.time_left_ms = 2_000;
            let frames = bench.frames(&side, &run).await;
            assert!(
                frames.last().is_some_and(fault.may_end),
                "{}: {frames:?}",
                fault.name
            );
        });
    }
}

#[test]
fn what_the_configuration_lacks_is_refused_as_not_run() {
    struct Case {
        name: &'static str,
        change: fn(&mut pumicecleat_types::RunRequest),
        reason: Reason,
    }
    let cases = [
        Case {
            name: "other stamp",
            change: |r| {
                if let pumicecleat_types::Target::Model(m) = &mut r.head.target {
                    m.declaration_digest ^= 1;
                }
            },
            reason: Reason::StaleConfig,
        },
        Case {
            name: "unknown version",
            change: |r| {
                if let pumicecleat_types::Target::Model(m) = &mut r.head.target {
                    m.version = "v9".into();
                }
            },
            reason: Reason::StaleConfig,
        },
        Case {
            name: "other pool",
            change: |r| r.head.pool = "booking".into(),
            reason: Reason::WrongPool,
        },
        Case {
            name: "no time",
            change: |r| r.head.time_left_ms = 0,
            reason: Reason::Deadline,
        },
    ];
    with_bench(|bench| async move {
        let side = bench.ready_model_side("vm-1").await;
        for case in cases {
            let mut run = bench.chat("r", "a", 1, false);
            (case.change)(&mut run);
            let frames = bench.frames(&side, &run).await;
            let [Frame::Refused(refusal)] = &frames[..] else {
                panic!("{}: {frames:?}", case.name);
            };
            assert_eq!(refusal.reason, case.reason, "{}", case.name);
        }
        assert_eq!(
            bench.effects(bench.engine.address).await["runs"],
            serde_json::json!([])
        );
    });
}

#[test]
fn an_entry_that_leaves_ends_its_work_at_the_engine() {
    with_bench(|bench| async move {
        let side = bench.ready_model_side("vm-1").await;
        let mut reader = bench.send(&side, &bench.chat("r", "a", 10_000, true)).await;
        for _ in 0..3 {
            bench.next(&mut reader).await.unwrap();
        }
        drop(reader);
        let aborted = async {
            while bench.effects(bench.engine.address).await["counters"]["aborted"] != 1 {
                bench.timer.sleep(Duration::from_millis(10)).await;
            }
        };
        bench
            .timer
            .within(bench::TIMEOUT, aborted)
            .await
            .expect("the engine still runs the request");
    });
}

#[test]
fn a_restarted_side_evicts_nothing_that_still_runs() {
    with_bench(|bench| async move {
        let first = bench.ready_model_side("vm-1").await;
        let mut reader = bench
            .send(&first, &bench.chat("long", "a", 400, true))
            .await;
        for _ in 0..3 {
            bench.next(&mut reader).await.unwrap();
        }
        // The first side's request continues while a second side takes over the engine.
        let second = bench.ready_model_side("vm-2").await;
        for adapter in ["b", "c", "b", "c"] {
            let frames = bench
                .frames(&second, &bench.chat(adapter, adapter, 2, false))
                .await;
            assert!(is_whole(&frames), "{frames:?}");
        }
        let effects = bench.effects(bench.engine.address).await;
        assert_eq!(effects["counters"]["evicted_in_use"], 0, "{effects}");
    });
}

#[test]
fn an_engine_that_restarts_cold_is_noticed() {
    with_bench(|bench| async move {
        let side = bench.ready_model_side("vm-1").await;
        bench
            .frames(&side, &bench.chat("warm", "a", 1, false))
            .await;
        let reports_count = |seen: &Seen, count| {
            let resident = seen.reports["vm-1"].resident.as_ref();
            resident.is_some_and(|r| r.len() == count)
        };
        bench.until(|seen| reports_count(seen, 1)).await;
        bench.engine.inject(|f| {
            f.restart = true;
            f.cold_ms = 300;
        });
        bench.until(|seen| reports_count(seen, 0)).await;
        bench.until_healthy("vm-1").await;
        let frames = bench
            .frames(&side, &bench.chat("again", "a", 4, false))
            .await;
        assert_eq!(completion_text(&frames), expected_text("a", 4));
    });
}

#[test]
fn a_load_that_lies_or_fails_refuses_its_requests_as_not_run() {
    for faults in [
        EngineFaults {
            fail_loads: 100,
            ..EngineFaults::default()
        },
        EngineFaults {
            lie_loads: 100,
            ..EngineFaults::default()
        },
    ] {
        with_bench(|bench| async move {
            let side = bench.ready_model_side("vm-1").await;
            bench.engine.set_faults(faults);
            let frames = bench.frames(&side, &bench.chat("r", "a", 1, false)).await;
            assert!(matches!(&frames[..], [Frame::Refused(_)]), "{frames:?}");
            assert_eq!(
                bench.effects(bench.engine.address).await["runs"],
                serde_json::json!([])
            );
        });
    }
}
