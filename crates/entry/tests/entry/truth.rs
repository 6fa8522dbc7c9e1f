//! Whether a request ran, told truthfully at every point at which an attempt may fail.

use std::time::Duration;

use pumicecleat_types::{Ran, Reason};

use crate::caller::{Caller, Told, chat, post, with};
use crate::script::Act::{self, Broken, Bytes, Cut, Hang, Head, NoHead, Refuse, Whole};
use crate::script::whole;
use crate::side::FakeSide;
use crate::world::{POOL, SERVICES, Started, World, case};

/// What the caller is told.
#[derive(Clone, Copy)]
struct Expect {
    status: u16,
    /// Empty for an answer.
    code: &'static str,
    ran: &'static str,
}

/// Attempts as scripted, and what comes of them.
struct Case {
    name: &'static str,
    scripts: Vec<Vec<Act>>,
    /// Sides that may be tried.
    sides: usize,
    /// Attempts expected.
    attempts: usize,
    expect: Expect,
}

const fn expect(status: u16, code: &'static str, ran: &'static str) -> Expect {
    Expect { status, code, ran }
}

const WHOLE: Expect = expect(200, "", "");
const LOST: Expect = expect(502, "outcome_unknown", "unknown");
const RAN: Expect = expect(502, "outcome_unknown", "yes");
const BUSY: Expect = expect(429, "overloaded", "no");
const LATE: Expect = expect(504, "deadline_exceeded", "no");
const GONE: Expect = expect(503, "upstream_unreachable", "no");

const FULL: Act = Refuse(Reason::Overloaded);

/// One attempt, cut at each point.
fn cut_points() -> Vec<Case> {
    let long = "{\"id\":\"chatcmpl-";
    #[rustfmt::skip]
    let rows = [
        ("refused", vec![FULL], BUSY),
        ("queue too long", vec![Refuse(Reason::Deadline)], LATE),
        ("broken, not run", vec![Broken(Ran::No)], GONE),
        ("may have run", vec![Broken(Ran::Unknown)], LOST),
        ("ran", vec![Broken(Ran::Yes)], RAN),
        ("no head of the HTTP answer", vec![NoHead], LOST),
        ("cut before the head", vec![Cut], LOST),
        ("ends before the head", vec![], LOST),
        ("cut after the head", vec![Head, Cut], LOST),
        ("cut within", vec![Head, Bytes(long), Cut], LOST),
        ("no end", vec![Head, Whole("Jó")], LOST),
        ("broken at the end", vec![Head, Whole("Jó"), Broken(Ran::Yes)], RAN),
    ];
    let cases = rows.into_iter().map(|(name, script, expect)| Case {
        name,
        scripts: vec![script],
        sides: 1,
        attempts: 1,
        expect,
    });
    cases.collect()
}

/// Attempts after each other: an earlier one that may have run is not forgotten.
fn chains() -> Vec<Case> {
    let unsure = Expect {
        ran: "unknown",
        ..BUSY
    };
    let rows = [
        ("refused, refused", [vec![FULL], vec![FULL]], BUSY),
        ("cut, refused", [vec![Head, Cut], vec![FULL]], unsure),
        ("refused, cut", [vec![FULL], vec![Head, Cut]], LOST),
        ("refused, whole", [vec![FULL], whole("Jó")], WHOLE),
        ("cut, whole", [vec![Head, Cut], whole("Jó")], WHOLE),
    ];
    let cases = rows.into_iter().map(|(name, scripts, expect)| Case {
        name,
        scripts: scripts.to_vec(),
        sides: 2,
        attempts: 2,
        expect,
    });
    cases.collect()
}

/// Calls with a key.
fn keyed() -> Vec<Case> {
    let cut = || vec![Head, Cut];
    let busy = expect(409, "key_in_use", "unknown");
    let reused = expect(422, "key_reused", "no");
    let unknown = expect(409, "key_outcome_unknown", "unknown");
    let log = expect(503, "log_unavailable", "unknown");
    #[rustfmt::skip]
    let rows = [
        ("cut, cut", vec![cut()], 2, LOST),
        ("cut, recorded", vec![cut(), whole("Jó")], 2, WHOLE),
        ("cut, busy", vec![cut(), vec![Refuse(Reason::KeyBusy)]], 2, busy),
        ("busy", vec![vec![Refuse(Reason::KeyBusy)]], 1, busy),
        ("reused", vec![vec![Refuse(Reason::KeyReused)]], 1, reused),
        ("unknown", vec![vec![Refuse(Reason::KeyUnknown)]], 1, unknown),
        ("cut, log down", vec![cut(), vec![Refuse(Reason::LogDown)]], 4, log),
    ];
    let cases = rows
        .into_iter()
        .map(|(name, scripts, attempts, expect)| Case {
            name,
            scripts,
            sides: 4,
            attempts,
            expect,
        });
    cases.collect()
}

#[test]
fn tells_whether_a_chat_request_ran() {
    case(|| async {
        for case in cut_points().into_iter().chain(chains()) {
            let stage = Stage::set(POOL, &case).await;
            let told = stage.caller.chat(false).await;
            stage.check(&case, &told);
        }
    });
}

/// Calls that may not be repeated, without a key.
#[test]
fn sends_a_call_without_key_once_if_it_may_have_run() {
    case(|| async {
        let mut cases = cut_points();
        for case in &mut cases {
            case.sides = 2;
            case.attempts = if case.expect.ran == "no" { 2 } else { 1 };
        }
        for case in cases {
            let stage = Stage::set(SERVICES, &case).await;
            let told = stage.caller.ask(post("/seats/mail", "to: school")).await;
            stage.check(&case, &told);
        }
    });
}

/// Calls with a key: one more attempt, with the same key.
#[test]
fn sends_a_call_with_key_once_more_at_another_side() {
    case(|| async {
        for case in keyed() {
            let stage = Stage::set(SERVICES, &case).await;
            let call = with(post("/seats/hold", "seat 7"), "idempotency-key", "key-7");
            let told = stage.caller.ask(call).await;
            stage.check(&case, &told);
            let mut seen = stage.sides.iter().flat_map(FakeSide::seen);
            assert!(seen.all(|r| r.head.idempotency_key.as_deref() == Some("key-7")));
        }
    });
}

#[test]
fn repeats_an_idempotent_call() {
    case(|| async {
        let scripts = vec![vec![Head, Cut], vec![Head, Bytes("7, 8"), Act::End]];
        let case = Case {
            name: "idempotent",
            scripts,
            sides: 2,
            attempts: 2,
            expect: WHOLE,
        };
        let stage = Stage::set(SERVICES, &case).await;
        let told = stage.caller.ask(post("/seats/list?day=1", "")).await;
        stage.check(&case, &told);
        assert_eq!(told.body, b"7, 8");
    });
}

/// A side that is gone without a word: nothing was sent.
#[test]
fn tells_that_nothing_was_sent() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let gone = pumicecleat_net::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = gone.local_addr().unwrap();
        drop(gone);
        let scripts = crate::side::Scripts::default();
        let mut side = FakeSide::start("side-1", &scripts, &world.timer);
        side.address = address;
        side.join(&world.client, started.entry.addresses().peers, POOL)
            .await;
        let told = world.caller(&started).chat(false).await;
        assert_eq!(told.status, 503);
        assert_eq!(told.error(), ("upstream_unreachable".into(), "no".into()));
        assert!(told.header("retry-after").is_some());
    });
}

/// The entry's own limit: the deadline with a small grace.
#[test]
fn gives_up_at_the_deadline() {
    let rows = [
        ("held back", vec![Hang], "unknown"),
        ("within the answer", vec![Head, Hang], "unknown"),
    ];
    case(|| async {
        for (name, script, ran) in rows {
            for stream in [false, true] {
                let world = World::new().await;
                let started = world.start_ready(&[]).await;
                let sides = world
                    .sides(&started, POOL, 1, std::slice::from_ref(&script))
                    .await;
                let from = world.timer.now();
                let request = with(chat(stream), "x-deadline-ms", "300");
                let told = world.caller(&started).ask(request).await;
                let took = world.timer.now().since(from);
                assert_eq!(told.status, 504, "{name}");
                assert_eq!(
                    told.error(),
                    ("deadline_exceeded".into(), ran.into()),
                    "{name}"
                );
                assert!((300..2_000).contains(&took.0), "{name}: {took:?}");
                world.timer.sleep(Duration::from_millis(50)).await;
                assert_eq!(sides[0].dropped(), 1, "{name}: cancelled at the side");
            }
        }
    });
}

struct Stage {
    _started: Started,
    sides: Vec<FakeSide>,
    caller: Caller,
}

impl Stage {
    async fn set(pool: &'static str, case: &Case) -> Self {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let sides = world.sides(&started, pool, case.sides, &case.scripts).await;
        let caller = world.caller(&started);
        Self {
            _started: started,
            sides,
            caller,
        }
    }

    fn attempts(&self) -> usize {
        self.sides.iter().map(|s| s.seen().len()).sum()
    }

    fn check(&self, case: &Case, told: &Told) {
        let (name, expect) = (case.name, case.expect);
        assert!(told.whole, "{name}");
        assert_eq!(told.status, expect.status, "{name}");
        assert_eq!(self.attempts(), case.attempts, "{name}");
        if expect.code.is_empty() {
            return;
        }
        assert_eq!(
            told.error(),
            (expect.code.into(), expect.ran.into()),
            "{name}"
        );
        let comes_back = matches!(told.status, 409 | 429 | 503 | 504);
        assert_eq!(told.header("retry-after").is_some(), comes_back, "{name}");
    }
}
