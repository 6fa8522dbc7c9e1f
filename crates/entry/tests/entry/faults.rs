//! How an entry handles mismatched responses, refusals, and sides that stop responding.

use std::time::Duration;

use pumicecleat_types::{Ran, Reason};

use crate::caller::chat;
use crate::fixture::{Fixture, MODEL_POOL, config_with, run_test};
use crate::script::{Action, Mismatch, completion_script, stream_script};

/// Complete body that names another version.
const OTHER_VERSION_BODY: &str = r#"{"id":"chatcmpl-1","model":"tour@v2","choices":[
    {"index":0,"message":{"role":"assistant","content":"X"},"finish_reason":"stop"}]}"#;

/// Complete body with the id of another request for the same version.
const OTHER_REQUEST_BODY: &str = r#"{"id":"chatcmpl-1","model":"tour@v1","choices":[
    {"index":0,"message":{"role":"assistant","content":"X"},"finish_reason":"stop"}]}"#;

/// Mismatched responses of a first attempt: name, whether the request is streamed, script.
fn mismatched_responses() -> Vec<(&'static str, bool, Vec<Action>)> {
    let head = |mismatch| {
        vec![
            Action::MismatchedHead(mismatch),
            Action::Role,
            Action::Text("X"),
            Action::Hang,
        ]
    };
    let event = |action| vec![Action::Head, action, Action::Hang];
    vec![
        ("head of another request", true, head(Mismatch::Request)),
        ("head of another attempt", true, head(Mismatch::Attempt)),
        ("head of another version", true, head(Mismatch::Model)),
        ("head without a model", true, head(Mismatch::NoModel)),
        (
            "event of another version",
            true,
            event(Action::OtherModelText("X")),
        ),
        (
            "event of another request",
            true,
            event(Action::OtherRequestText("X")),
        ),
        (
            "body of another version",
            false,
            vec![Action::Head, Action::Bytes(OTHER_VERSION_BODY), Action::End],
        ),
        (
            "body of another request",
            false,
            vec![Action::Head, Action::Bytes(OTHER_REQUEST_BODY), Action::End],
        ),
    ]
}

#[test]
fn never_passes_on_a_wrong_answer() {
    run_test(|| async {
        for (name, streamed, script) in mismatched_responses() {
            let next = if streamed {
                stream_script(&["Jó"])
            } else {
                completion_script("Jó")
            };
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&[]).await;
            let sides = fixture
                .start_sides(&started, MODEL_POOL, 2, &[script, next])
                .await;
            let response = fixture.caller(&started).chat(streamed).await;
            assert!(response.complete, "{name}");
            assert_eq!(response.text(), "Jó", "{name}");
            assert_eq!(response.header("x-attempts"), Some("2"), "{name}");
            let metrics = fixture.get_admin(&started, "/metrics").await;
            assert!(
                metrics.contains("pumicecleat_entry_mismatches_total 1"),
                "{name}"
            );
            let expected_closed = usize::from(streamed);
            fixture
                .wait_until(|| {
                    sides
                        .iter()
                        .map(crate::side::FakeSide::closed_early)
                        .sum::<usize>()
                        == expected_closed
                })
                .await;
        }
    });
}

#[test]
fn tells_no_one_a_wrong_answer_alone() {
    run_test(|| async {
        for (name, streamed, script) in mismatched_responses() {
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&[]).await;
            fixture
                .start_sides(&started, MODEL_POOL, 1, &[script])
                .await;
            let response = fixture.caller(&started).chat(streamed).await;
            assert_eq!(response.status, 502, "{name}");
            assert_eq!(
                response.error(),
                ("outcome_unknown".into(), "unknown".into()),
                "{name}"
            );
        }
    });
}

/// After a refusal because of different configurations, the entry reads the log and sends the
/// request to the same side once more.
#[test]
fn refreshes_the_configuration_after_a_stale_refusal() {
    let stale = vec![Action::Refuse(Reason::StaleConfig)];
    let rows = [
        ("once", vec![stale.clone(), completion_script("Jó")], 200, 2),
        ("always", vec![stale], 503, 2),
    ];
    run_test(|| async {
        for (name, scripts, status, attempts) in rows {
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&[]).await;
            let sides = fixture.start_sides(&started, MODEL_POOL, 1, &scripts).await;
            let response = fixture.caller(&started).chat(false).await;
            assert_eq!(response.status, status, "{name}");
            assert_eq!(sides[0].attempts().len(), attempts, "{name}");
        }
    });
}

/// A leaving side gets no new requests, whether a refusal or a report shows first that it leaves.
#[test]
fn sends_nothing_to_a_leaving_side() {
    run_test(|| async {
        for reported in [false, true] {
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&[]).await;
            let scripts = [vec![Action::Refuse(Reason::Leaving)]];
            let sides = fixture.start_sides(&started, MODEL_POOL, 1, &scripts).await;
            let caller = fixture.caller(&started);
            let before = if reported {
                sides[0].set_leaving();
                fixture.timer.sleep(Duration::from_millis(500)).await;
                0
            } else {
                assert_eq!(caller.chat(false).await.error().0, "upstream_leaving");
                1
            };
            for _ in 0..5 {
                let response = caller.chat(false).await;
                assert_eq!(response.error(), ("no_upstream".into(), "no".into()));
                assert!(response.header("retry-after").is_some());
            }
            assert_eq!(sides[0].attempts().len(), before);
        }
    });
}

/// Retries after refusals are limited to a share of the requests, so that they do not multiply an
/// overload. Retries after an upstream dies do not count toward that share.
#[test]
fn bounds_retries() {
    const REQUESTS: usize = 60;
    // After refusals, a burst of 20 and a tenth of the requests are retried; after failures, each
    // request is tried at each of the four sides.
    let rows = [
        (Action::Refuse(Reason::Overloaded), 429, REQUESTS + 26),
        (Action::Broken(Ran::Unknown), 502, 4 * REQUESTS),
    ];
    run_test(|| async {
        for (action, status, max_attempts) in rows {
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&["--retries", "10"]).await;
            let sides = fixture
                .start_sides(&started, MODEL_POOL, 4, &[vec![action]])
                .await;
            let caller = fixture.caller(&started);
            for _ in 0..REQUESTS {
                assert_eq!(caller.chat(false).await.status, status);
            }
            let attempts: usize = sides.iter().map(|s| s.attempts().len()).sum();
            assert!(
                (max_attempts - 6..=max_attempts).contains(&attempts),
                "{attempts}"
            );
        }
    });
}

/// An attempt at a side that stops responding is abandoned once the side's reports are overdue.
#[test]
fn retries_when_a_side_becomes_unresponsive() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let scripts = [vec![Action::Hang], completion_script("Jó")];
        let sides = fixture.start_sides(&started, MODEL_POOL, 2, &scripts).await;
        let caller = fixture.caller(&started);
        let call = async {
            caller
                .call(crate::caller::with_header(
                    chat(false),
                    "x-deadline-ms",
                    "15000",
                ))
                .await
        };
        let freeze = async {
            fixture
                .wait_until(|| sides.iter().any(|s| s.attempts().len() == 1))
                .await;
            let silent_side = sides.iter().find(|s| s.attempts().len() == 1).unwrap();
            silent_side.stop_reports();
        };
        let (response, ()) = futures_util::future::join(call, freeze).await;
        assert_eq!(response.status, 200);
        assert_eq!(response.header("x-attempts"), Some("2"));
    });
}

/// An engine's error about a request body is passed on, and the request is not retried.
#[test]
fn passes_on_engine_errors_without_retry() {
    const ENGINE_ERROR: &str = r#"{"error":{"message":"too many tokens","code":400}}"#;
    run_test(|| async {
        for streamed in [false, true] {
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&[]).await;
            let script = vec![
                Action::Status(400),
                Action::Bytes(ENGINE_ERROR),
                Action::End,
            ];
            let sides = fixture
                .start_sides(&started, MODEL_POOL, 2, &[script])
                .await;
            let response = fixture.caller(&started).chat(streamed).await;
            assert_eq!(response.status, 400);
            assert_eq!(response.json()["error"]["message"], "too many tokens");
            assert_eq!(sides.iter().map(|s| s.attempts().len()).sum::<usize>(), 1);
        }
    });
}

/// A response over the limit is neither buffered to its end nor passed on in part.
#[test]
fn limits_the_size_of_buffered_responses() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&["--answer", "64"]).await;
        let mut script = vec![Action::Head];
        script.extend(vec![Action::Bytes("0123456789abcdef"); 100]);
        script.push(Action::End);
        fixture
            .start_sides(&started, MODEL_POOL, 1, &[script])
            .await;
        let response = fixture.caller(&started).chat(false).await;
        assert_eq!((response.status, response.error().1.as_str()), (502, "yes"));
    });
}

/// If one of two pools for a base model has no upstreams, requests go to the other.
#[test]
fn chooses_a_pool_that_has_upstreams() {
    const POOL_WITHOUT_UPSTREAMS: &str = "[pool.another]
kind = 'model'
base = 'magyar-7b'
slots = 4
batch = 8";
    run_test(|| async {
        let mut fixture = Fixture::with_empty_log();
        fixture
            .apply_config(&config_with(POOL_WITHOUT_UPSTREAMS))
            .await;
        let started = fixture.start_ready(&[]).await;
        let sides = fixture
            .start_sides(&started, MODEL_POOL, 1, &[completion_script("Jó")])
            .await;
        assert_eq!(fixture.caller(&started).chat(false).await.status, 200);
        assert_eq!(sides[0].attempts()[0].head.pool.as_str(), MODEL_POOL);
    });
}
