//! Wrong answers, refusals and what follows them.

use std::time::Duration;

use pumicecleat_types::{Ran, Reason};

use crate::caller::chat;
use crate::script::{Act, False, stream, whole};
use crate::world::{POOL, World, case, config_with};

/// Whole body of another version.
const OTHER_VERSION: &str = r#"{"id":"chatcmpl-1","model":"tour@v2","choices":[
    {"index":0,"message":{"role":"assistant","content":"X"},"finish_reason":"stop"}]}"#;

/// Whole body of another request for the same version.
const OTHER_REQUEST: &str = r#"{"id":"chatcmpl-1","model":"tour@v1","choices":[
    {"index":0,"message":{"role":"assistant","content":"X"},"finish_reason":"stop"}]}"#;

/// Wrong answers of a first attempt.
fn wrong_answers() -> Vec<(&'static str, bool, Vec<Act>)> {
    let head = |wrong| vec![Act::FalseHead(wrong), Act::Role, Act::Text("X"), Act::Hang];
    let event = |act| vec![Act::Head, act, Act::Hang];
    vec![
        ("head of another request", true, head(False::Request)),
        ("head of another attempt", true, head(False::Attempt)),
        ("head of another version", true, head(False::Model)),
        ("head without a model", true, head(False::NoModel)),
        ("event of another version", true, event(Act::FalseText("X"))),
        (
            "event of another request",
            true,
            event(Act::CrossedText("X")),
        ),
        (
            "body of another version",
            false,
            vec![Act::Head, Act::Bytes(OTHER_VERSION), Act::End],
        ),
        (
            "body of another request",
            false,
            vec![Act::Head, Act::Bytes(OTHER_REQUEST), Act::End],
        ),
    ]
}

#[test]
fn never_passes_on_a_wrong_answer() {
    case(|| async {
        for (name, streamed, script) in wrong_answers() {
            let next = if streamed {
                stream(&["Jó"])
            } else {
                whole("Jó")
            };
            let world = World::new().await;
            let started = world.start_ready(&[]).await;
            let sides = world.sides(&started, POOL, 2, &[script, next]).await;
            let told = world.caller(&started).chat(streamed).await;
            assert!(told.whole, "{name}");
            assert_eq!(told.text(), "Jó", "{name}");
            assert_eq!(told.header("x-attempts"), Some("2"), "{name}");
            let metrics = world.admin(&started, "/metrics").await;
            assert!(
                metrics.contains("pumicecleat_entry_mismatches_total 1"),
                "{name}"
            );
            let cancelled = usize::from(streamed);
            world
                .until(|| {
                    sides
                        .iter()
                        .map(crate::side::FakeSide::dropped)
                        .sum::<usize>()
                        == cancelled
                })
                .await;
        }
    });
}

#[test]
fn tells_no_one_a_wrong_answer_alone() {
    case(|| async {
        for (name, streamed, script) in wrong_answers() {
            let world = World::new().await;
            let started = world.start_ready(&[]).await;
            world.sides(&started, POOL, 1, &[script]).await;
            let told = world.caller(&started).chat(streamed).await;
            assert_eq!(told.status, 502, "{name}");
            assert_eq!(
                told.error(),
                ("outcome_unknown".into(), "unknown".into()),
                "{name}"
            );
        }
    });
}

/// Sides and entry with different configurations: the same side is asked once more.
#[test]
fn reads_the_log_after_a_difference() {
    let stale = vec![Act::Refuse(Reason::StaleConfig)];
    let rows = [
        ("once", vec![stale.clone(), whole("Jó")], 200, 2),
        ("always", vec![stale], 503, 2),
    ];
    case(|| async {
        for (name, scripts, status, attempts) in rows {
            let world = World::new().await;
            let started = world.start_ready(&[]).await;
            let sides = world.sides(&started, POOL, 1, &scripts).await;
            let told = world.caller(&started).chat(false).await;
            assert_eq!(told.status, status, "{name}");
            assert_eq!(sides[0].seen().len(), attempts, "{name}");
        }
    });
}

/// A leaving upstream gets no new work, whichever sign comes first.
#[test]
fn sends_nothing_to_a_leaving_side() {
    case(|| async {
        for reported in [false, true] {
            let world = World::new().await;
            let started = world.start_ready(&[]).await;
            let scripts = [vec![Act::Refuse(Reason::Leaving)]];
            let sides = world.sides(&started, POOL, 1, &scripts).await;
            let caller = world.caller(&started);
            let before = if reported {
                sides[0].set_leaving();
                world.timer.sleep(Duration::from_millis(500)).await;
                0
            } else {
                assert_eq!(caller.chat(false).await.error().0, "upstream_leaving");
                1
            };
            for _ in 0..5 {
                let told = caller.chat(false).await;
                assert_eq!(told.error(), ("no_upstream".into(), "no".into()));
                assert!(told.header("retry-after").is_some());
            }
            assert_eq!(sides[0].seen().len(), before);
        }
    });
}

/// Retries after refusals are a share of requests, so that they don't multiply an overload; an
/// upstream that dies must not take that share.
#[test]
fn bounds_retries() {
    const REQUESTS: usize = 60;
    // A burst of 20 and a tenth of the requests; or one attempt at each of the four sides.
    let rows = [
        (Act::Refuse(Reason::Overloaded), 429, REQUESTS + 26),
        (Act::Broken(Ran::Unknown), 502, 4 * REQUESTS),
    ];
    case(|| async {
        for (act, status, most) in rows {
            let world = World::new().await;
            let started = world.start_ready(&["--retries", "10"]).await;
            let sides = world.sides(&started, POOL, 4, &[vec![act]]).await;
            let caller = world.caller(&started);
            for _ in 0..REQUESTS {
                assert_eq!(caller.chat(false).await.status, status);
            }
            let attempts: usize = sides.iter().map(|s| s.seen().len()).sum();
            assert!((most - 6..=most).contains(&attempts), "{attempts}");
        }
    });
}

/// A side that took the request and went still is given up once its reports are overdue.
#[test]
fn leaves_a_side_that_went_still() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let scripts = [vec![Act::Hang], whole("Jó")];
        let sides = world.sides(&started, POOL, 2, &scripts).await;
        let caller = world.caller(&started);
        let ask = async {
            caller
                .ask(crate::caller::with(chat(false), "x-deadline-ms", "15000"))
                .await
        };
        let freeze = async {
            world
                .until(|| sides.iter().any(|s| s.seen().len() == 1))
                .await;
            let still = sides.iter().find(|s| s.seen().len() == 1).unwrap();
            still.stop_reports();
        };
        let (told, ()) = futures_util::future::join(ask, freeze).await;
        assert_eq!(told.status, 200);
        assert_eq!(told.header("x-attempts"), Some("2"));
    });
}

/// An engine's word on a body is told, and not retried.
#[test]
fn tells_what_an_engine_refuses() {
    const TOO_LONG: &str = r#"{"error":{"message":"too many tokens","code":400}}"#;
    case(|| async {
        for streamed in [false, true] {
            let world = World::new().await;
            let started = world.start_ready(&[]).await;
            let script = vec![Act::Status(400), Act::Bytes(TOO_LONG), Act::End];
            let sides = world.sides(&started, POOL, 2, &[script]).await;
            let told = world.caller(&started).chat(streamed).await;
            assert_eq!(told.status, 400);
            assert_eq!(told.json()["error"]["message"], "too many tokens");
            assert_eq!(sides.iter().map(|s| s.seen().len()).sum::<usize>(), 1);
        }
    });
}

/// An answer over the limit is not held in memory to its end, nor passed on in part.
#[test]
fn bounds_whole_answers() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&["--answer", "64"]).await;
        let mut script = vec![Act::Head];
        script.extend(vec![Act::Bytes("0123456789abcdef"); 100]);
        script.push(Act::End);
        world.sides(&started, POOL, 1, &[script]).await;
        let told = world.caller(&started).chat(false).await;
        assert_eq!((told.status, told.error().1.as_str()), (502, "yes"));
    });
}

/// Of two pools for one base model, one without upstreams is no reason to refuse.
#[test]
fn chooses_a_pool_that_has_upstreams() {
    const EMPTY: &str = "[pool.another]
kind = 'model'
base = 'magyar-7b'
slots = 4
batch = 8";
    case(|| async {
        let mut world = World::bare();
        world.apply(&config_with(EMPTY)).await;
        let started = world.start_ready(&[]).await;
        let sides = world.sides(&started, POOL, 1, &[whole("Jó")]).await;
        assert_eq!(world.caller(&started).chat(false).await.status, 200);
        assert_eq!(sides[0].seen()[0].head.pool.as_str(), POOL);
    });
}
