//! Errors say correctly whether a request ran, wherever an attempt fails.

use std::time::Duration;

use pumicecleat_types::{Ran, Reason};

use crate::caller::{Caller, ReceivedResponse, chat, post, with_header};
use crate::fixture::{Fixture, MODEL_POOL, SERVICE_POOL, StartedEntry, run_test};
use crate::script::Action::{
    self, Broken, Bytes, Completion, Disconnect, Hang, Head, NoHead, Refuse,
};
use crate::script::completion_script;
use crate::side::FakeSide;

/// Response that the caller must get.
#[derive(Clone, Copy)]
struct ExpectedResponse {
    status: u16,
    /// Empty if the response is no error.
    code: &'static str,
    ran: &'static str,
}

/// Scripts of the attempts, and the expected outcome.
struct Case {
    name: &'static str,
    scripts: Vec<Vec<Action>>,
    /// Number of sides that may be tried.
    sides: usize,
    /// Expected number of attempts.
    attempts: usize,
    expected: ExpectedResponse,
}

const fn expected(status: u16, code: &'static str, ran: &'static str) -> ExpectedResponse {
    ExpectedResponse { status, code, ran }
}

const OK: ExpectedResponse = expected(200, "", "");
const OUTCOME_UNKNOWN: ExpectedResponse = expected(502, "outcome_unknown", "unknown");
const RAN_OUTCOME_UNKNOWN: ExpectedResponse = expected(502, "outcome_unknown", "yes");
const OVERLOADED: ExpectedResponse = expected(429, "overloaded", "no");
const DEADLINE_EXCEEDED: ExpectedResponse = expected(504, "deadline_exceeded", "no");
const UNREACHABLE: ExpectedResponse = expected(503, "upstream_unreachable", "no");

const REFUSE_OVERLOADED: Action = Refuse(Reason::Overloaded);

/// One attempt that fails at each possible point.
fn single_attempt_cases() -> Vec<Case> {
    let partial_body = "{\"id\":\"chatcmpl-";
    #[rustfmt::skip]
let rows = [
("refused", vec![REFUSE_OVERLOADED], OVERLOADED),
("queue too long", vec![Refuse(Reason::Deadline)], DEADLINE_EXCEEDED),
("broken, not run", vec![Broken(Ran::No)], UNREACHABLE),
("may have run", vec![Broken(Ran::Unknown)], OUTCOME_UNKNOWN),
("ran", vec![Broken(Ran::Yes)], RAN_OUTCOME_UNKNOWN),
("no head of the HTTP response", vec![NoHead], OUTCOME_UNKNOWN),
("cut before the head", vec![Disconnect], OUTCOME_UNKNOWN),
("ends before the head", vec![], OUTCOME_UNKNOWN),
("cut after the head", vec![Head, Disconnect], OUTCOME_UNKNOWN),
("cut within the body", vec![Head, Bytes(partial_body), Disconnect], OUTCOME_UNKNOWN),
("no End frame", vec![Head, Completion("Jó")], OUTCOME_UNKNOWN),
("broken at the end", vec![Head, Completion("Jó"), Broken(Ran::Yes)], RAN_OUTCOME_UNKNOWN),
];
    let cases = rows.into_iter().map(|(name, script, expected)| Case {
        name,
        scripts: vec![script],
        sides: 1,
        attempts: 1,
        expected,
    });
    cases.collect()
}

/// Two successive attempts: the error takes into account that an earlier one may have run.
fn two_attempt_cases() -> Vec<Case> {
    let overloaded_after_lost = ExpectedResponse {
        ran: "unknown",
        ..OVERLOADED
    };
    let rows = [
        (
            "refused, refused",
            [vec![REFUSE_OVERLOADED], vec![REFUSE_OVERLOADED]],
            OVERLOADED,
        ),
        (
            "cut, refused",
            [vec![Head, Disconnect], vec![REFUSE_OVERLOADED]],
            overloaded_after_lost,
        ),
        (
            "refused, cut",
            [vec![REFUSE_OVERLOADED], vec![Head, Disconnect]],
            OUTCOME_UNKNOWN,
        ),
        (
            "refused, complete",
            [vec![REFUSE_OVERLOADED], completion_script("Jó")],
            OK,
        ),
        (
            "cut, complete",
            [vec![Head, Disconnect], completion_script("Jó")],
            OK,
        ),
    ];
    let cases = rows.into_iter().map(|(name, scripts, expected)| Case {
        name,
        scripts: scripts.to_vec(),
        sides: 2,
        attempts: 2,
        expected,
    });
    cases.collect()
}

/// Calls with an idempotency key.
fn keyed_cases() -> Vec<Case> {
    let cut = || vec![Head, Disconnect];
    let busy = expected(409, "key_in_use", "unknown");
    let reused = expected(422, "key_reused", "no");
    let unknown = expected(409, "key_outcome_unknown", "unknown");
    let log = expected(503, "log_unavailable", "unknown");
    #[rustfmt::skip]
let rows = [
("cut, cut", vec![cut()], 2, OUTCOME_UNKNOWN),
("cut, recorded", vec![cut(), completion_script("Jó")], 2, OK),
("cut, busy", vec![cut(), vec![Refuse(Reason::KeyBusy)]], 2, busy),
("busy", vec![vec![Refuse(Reason::KeyBusy)]], 1, busy),
("reused", vec![vec![Refuse(Reason::KeyReused)]], 1, reused),
("unknown", vec![vec![Refuse(Reason::KeyUnknown)]], 1, unknown),
("cut, log down", vec![cut(), vec![Refuse(Reason::LogDown)]], 4, log),
];
    let cases = rows
        .into_iter()
        .map(|(name, scripts, attempts, expected)| Case {
            name,
            scripts,
            sides: 4,
            attempts,
            expected,
        });
    cases.collect()
}

#[test]
fn tells_whether_a_chat_request_ran() {
    run_test(|| async {
        for case in single_attempt_cases()
            .into_iter()
            .chain(two_attempt_cases())
        {
            let case_run = CaseRun::start(MODEL_POOL, &case).await;
            let response = case_run.caller.chat(false).await;
            case_run.check(&case, &response);
        }
    });
}

/// Calls that are not idempotent and have no key.
#[test]
fn sends_a_call_without_key_once_if_it_may_have_run() {
    run_test(|| async {
        let mut cases = single_attempt_cases();
        for case in &mut cases {
            case.sides = 2;
            case.attempts = if case.expected.ran == "no" { 2 } else { 1 };
        }
        for case in cases {
            let case_run = CaseRun::start(SERVICE_POOL, &case).await;
            let response = case_run
                .caller
                .call(post("/seats/mail", "to: school"))
                .await;
            case_run.check(&case, &response);
        }
    });
}

/// A call with a key that may have run is sent once more, with the same key.
#[test]
fn sends_a_call_with_key_once_more_at_another_side() {
    run_test(|| async {
        for case in keyed_cases() {
            let case_run = CaseRun::start(SERVICE_POOL, &case).await;
            let call = with_header(post("/seats/hold", "seat 7"), "idempotency-key", "key-7");
            let response = case_run.caller.call(call).await;
            case_run.check(&case, &response);
            let mut seen = case_run.sides.iter().flat_map(FakeSide::attempts);
            assert!(seen.all(|r| r.head.idempotency_key.as_deref() == Some("key-7")));
        }
    });
}

#[test]
fn retries_an_idempotent_call() {
    run_test(|| async {
        let scripts = vec![
            vec![Head, Disconnect],
            vec![Head, Bytes("7, 8"), Action::End],
        ];
        let case = Case {
            name: "idempotent",
            scripts,
            sides: 2,
            attempts: 2,
            expected: OK,
        };
        let case_run = CaseRun::start(SERVICE_POOL, &case).await;
        let response = case_run.caller.call(post("/seats/list?day=1", "")).await;
        case_run.check(&case, &response);
        assert_eq!(response.body, b"7, 8");
    });
}

/// A side that no longer listens: the connection fails, so nothing was sent.
#[test]
fn reports_not_run_when_the_connection_is_refused() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let listener = pumicecleat_net::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let scripts = crate::side::Scripts::default();
        let mut side = FakeSide::start("side-1", &scripts, &fixture.timer);
        side.address = address;
        side.start_reporting(&fixture.client, started.entry.addresses().peers, MODEL_POOL)
            .await;
        let response = fixture.caller(&started).chat(false).await;
        assert_eq!(response.status, 503);
        assert_eq!(
            response.error(),
            ("upstream_unreachable".into(), "no".into())
        );
        assert!(response.header("retry-after").is_some());
    });
}

/// The entry's own time limit is the deadline with a short grace period.
#[test]
fn gives_up_at_the_deadline() {
    let rows = [
        ("before the response", vec![Hang], "unknown"),
        ("within the response", vec![Head, Hang], "unknown"),
    ];
    run_test(|| async {
        for (name, script, ran) in rows {
            for stream in [false, true] {
                let fixture = Fixture::new().await;
                let started = fixture.start_ready(&[]).await;
                let sides = fixture
                    .start_sides(&started, MODEL_POOL, 1, std::slice::from_ref(&script))
                    .await;
                let from = fixture.timer.now();
                let request = with_header(chat(stream), "x-deadline-ms", "300");
                let response = fixture.caller(&started).call(request).await;
                let elapsed = fixture.timer.now().since(from);
                assert_eq!(response.status, 504, "{name}");
                assert_eq!(
                    response.error(),
                    ("deadline_exceeded".into(), ran.into()),
                    "{name}"
                );
                assert!((300..2_000).contains(&elapsed.0), "{name}: {elapsed:?}");
                fixture.timer.sleep(Duration::from_millis(50)).await;
                assert_eq!(sides[0].closed_early(), 1, "{name}: cancelled at the side");
            }
        }
    });
}

struct CaseRun {
    _started: StartedEntry,
    sides: Vec<FakeSide>,
    caller: Caller,
}

impl CaseRun {
    async fn start(pool: &'static str, case: &Case) -> Self {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let sides = fixture
            .start_sides(&started, pool, case.sides, &case.scripts)
            .await;
        let caller = fixture.caller(&started);
        Self {
            _started: started,
            sides,
            caller,
        }
    }

    fn attempts(&self) -> usize {
        self.sides.iter().map(|s| s.attempts().len()).sum()
    }

    fn check(&self, case: &Case, response: &ReceivedResponse) {
        let (name, expected) = (case.name, case.expected);
        assert!(response.complete, "{name}");
        assert_eq!(response.status, expected.status, "{name}");
        assert_eq!(self.attempts(), case.attempts, "{name}");
        if expected.code.is_empty() {
            return;
        }
        assert_eq!(
            response.error(),
            (expected.code.into(), expected.ran.into()),
            "{name}"
        );
        let retryable = matches!(response.status, 409 | 429 | 503 | 504);
        assert_eq!(
            response.header("retry-after").is_some(),
            retryable,
            "{name}"
        );
    }
}
