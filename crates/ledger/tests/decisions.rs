//! Table-driven tests of the decisions on a call, given the records in the stream.

use pumicecleat_ledger::{
    Abandon, Admission, Attempt, Call, Digest, Done, Event, Intent, Key, Ledger, Limits,
    OffsetRange, Outcome, Owner, Record, RecordedResponse, SendPermit, StepError, Verdict,
};
use pumicecleat_types::{LogRecord, Millis, Reason};

const START: u64 = 1_000_000;
const WINDOW: u64 = 10_000;
const MAX_AHEAD: u64 = 1_000;
const LOG_RETENTION: u64 = 20_000;
const CALL_TIMEOUT: u64 = 500;
const BODY: &[u8] = b"seat 41";

fn owner(vm: &str, incarnation: u64) -> Owner {
    Owner {
        vm: vm.into(),
        incarnation,
    }
}

fn ledger(first: u64, end: u64) -> Ledger {
    let limits = Limits::new(Millis(WINDOW), Millis(MAX_AHEAD), Millis(LOG_RETENTION)).unwrap();
    Ledger::new(owner("a", 2), limits, OffsetRange { first, end })
}

fn key() -> Key {
    Key::parse(&"c".into(), "k").unwrap()
}

fn uuid_key(at: u64) -> Key {
    let id = uuid::Builder::from_unix_timestamp_millis(at, &[7; 10]).into_uuid();
    Key::parse(&"c".into(), &id.to_string()).unwrap()
}

fn attempt(vm: &str, incarnation: u64) -> Attempt {
    Attempt {
        owner: owner(vm, incarnation),
        seq: 0,
    }
}

fn intent(attempt: &Attempt) -> Record {
    Record::Intent(Intent {
        attempt: attempt.clone(),
        key: key(),
        digest: Digest::of(BODY),
        deadline: Millis(START + CALL_TIMEOUT),
    })
}

fn abandon(attempt: &Attempt) -> Record {
    Record::Abandon(Abandon {
        attempt: attempt.clone(),
        key: key(),
    })
}

fn done(attempt: &Attempt, outcome: Outcome) -> Record {
    Record::Done(Done {
        attempt: attempt.clone(),
        key: key(),
        digest: Digest::of(BODY),
        outcome,
    })
}

fn response() -> Outcome {
    Outcome::Response(RecordedResponse::new(201, Vec::new(), b"held", 64))
}

fn append(offset: u64, at: u64, records: &[Record]) -> LogRecord {
    LogRecord {
        offset,
        at,
        data: Record::encode_batch(records),
    }
}

fn call<'a>(key: &'a Key, body: &[u8], now: u64) -> Call<'a> {
    Call {
        key,
        digest: Digest::of(body),
        now: Millis(now),
        deadline: Millis(now + CALL_TIMEOUT),
    }
}

#[derive(Debug, PartialEq)]
enum Decision {
    Claim,
    Replay(Outcome),
    Refuse(Reason),
}

fn decide(ledger: &mut Ledger, call: &Call<'_>) -> Decision {
    match ledger.admit(call) {
        Admission::Claim(_) => Decision::Claim,
        Admission::Replay(outcome) => Decision::Replay(outcome.clone()),
        Admission::Refuse(reason) => Decision::Refuse(reason),
    }
}

struct StreamCase {
    name: &'static str,
    records: Vec<Record>,
    body: &'static [u8],
    now: u64,
    decision: Decision,
}

fn stream_case(name: &'static str, records: Vec<Record>, decision: Decision) -> StreamCase {
    StreamCase {
        name,
        records,
        body: BODY,
        now: START,
        decision,
    }
}

fn same_body_cases() -> Vec<StreamCase> {
    let other = attempt("b", 1);
    let before = attempt("a", 1);
    let busy = Decision::Refuse(Reason::KeyBusy);
    let unknown = || Decision::Refuse(Reason::KeyUnknown);
    let replay = || Decision::Replay(response());
    let answered = vec![intent(&other), done(&other, response())];
    let lost = vec![intent(&other), done(&other, Outcome::Unknown)];
    let reversed = vec![intent(&other), done(&other, response()), abandon(&other)];
    let second = vec![intent(&other), intent(&before), abandon(&other)];
    vec![
        stream_case("empty stream", vec![], Decision::Claim),
        stream_case("running elsewhere", vec![intent(&other)], busy),
        stream_case(
            "of an earlier incarnation",
            vec![intent(&before)],
            unknown(),
        ),
        stream_case(
            "abandoned",
            vec![intent(&other), abandon(&other)],
            Decision::Claim,
        ),
        stream_case("answered", answered, replay()),
        stream_case(
            "answered, intent trimmed",
            vec![done(&other, response())],
            replay(),
        ),
        stream_case("response lost", lost, unknown()),
        stream_case("abandoned after its response", reversed, replay()),
        stream_case("second in line, first abandoned", second, unknown()),
    ]
}

fn other_body_cases() -> Vec<StreamCase> {
    let other = attempt("b", 1);
    let reused = || Decision::Refuse(Reason::KeyReused);
    let abandoned = vec![intent(&other), abandon(&other)];
    let mut cases = vec![
        stream_case(
            "other body than a running one",
            vec![intent(&other)],
            reused(),
        ),
        stream_case(
            "other body than an answered one",
            vec![done(&other, response())],
            reused(),
        ),
        stream_case("other body than an abandoned one", abandoned, reused()),
    ];
    for case in &mut cases {
        case.body = b"seat 42";
    }
    cases
}

fn later_cases() -> Vec<StreamCase> {
    let open = || vec![intent(&attempt("b", 1))];
    let unknown = || Decision::Refuse(Reason::KeyUnknown);
    let late = stream_case("deadline passed", open(), unknown());
    let kept = stream_case("window over, key still kept", open(), unknown());
    let gone = stream_case("forgotten", open(), Decision::Claim);
    vec![
        StreamCase {
            now: START + CALL_TIMEOUT + 1,
            ..late
        },
        StreamCase {
            now: START + WINDOW + MAX_AHEAD - 1,
            ..kept
        },
        StreamCase {
            now: START + WINDOW + MAX_AHEAD,
            ..gone
        },
    ]
}

#[test]
fn calls_are_decided_by_the_stream() {
    let cases = [same_body_cases(), other_body_cases(), later_cases()];
    for case in cases.into_iter().flatten() {
        let mut ledger = ledger(0, 1);
        ledger.apply(&append(0, START, &case.records));
        let decision = decide(&mut ledger, &call(&key(), case.body, case.now));
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

struct AgeCase {
    minted: u64,
    decision: Decision,
}

const fn age_case(minted: u64, decision: Decision) -> AgeCase {
    AgeCase { minted, decision }
}

const AGES: &[AgeCase] = &[
    age_case(START - WINDOW, Decision::Refuse(Reason::KeyExpired)),
    age_case(START - WINDOW + 1, Decision::Claim),
    age_case(START + MAX_AHEAD, Decision::Claim),
    age_case(START + MAX_AHEAD + 1, Decision::Refuse(Reason::KeyInvalid)),
];

#[test]
fn keys_with_a_time_are_checked_against_the_window() {
    for case in AGES {
        let key = uuid_key(case.minted);
        let decision = decide(&mut ledger(0, 0), &call(&key, BODY, START));
        assert_eq!(decision, case.decision, "{}", case.minted);
    }
}

struct ReadCase {
    name: &'static str,
    /// Records ahead of the own intent, in the same append.
    before: Vec<Record>,
    /// Time of the append by the log's clock.
    at: u64,
    /// Expected verdict, or `None` for a win.
    loss: Option<Verdict>,
    /// Whether an abandon record is pending afterwards.
    pending: bool,
}

fn read_cases() -> Vec<ReadCase> {
    let other = attempt("b", 1);
    let refused = |reason| Some(Verdict::Refuse(reason));
    let case = |name, before, loss, pending| ReadCase {
        name,
        before,
        at: START,
        loss,
        pending,
    };
    vec![
        case("first", vec![], None, false),
        case(
            "behind another",
            vec![intent(&other)],
            refused(Reason::KeyBusy),
            true,
        ),
        case(
            "behind an abandoned one",
            vec![intent(&other), abandon(&other)],
            None,
            false,
        ),
        case(
            "behind a response",
            vec![done(&other, response())],
            Some(Verdict::Replay(response())),
            false,
        ),
        case(
            "behind a lost response",
            vec![done(&other, Outcome::Unknown)],
            refused(Reason::KeyUnknown),
            false,
        ),
        ReadCase {
            at: START + WINDOW + 1,
            ..case(
                "too old by the log's clock",
                vec![],
                refused(Reason::KeyExpired),
                false,
            )
        },
        ReadCase {
            at: START - MAX_AHEAD - 1,
            ..case(
                "too new by the log's clock",
                vec![],
                refused(Reason::KeyInvalid),
                false,
            )
        },
    ]
}

fn claim(ledger: &mut Ledger, key: &Key) -> Intent {
    match ledger.admit(&call(key, BODY, START)) {
        Admission::Claim(intent) => intent,
        other => panic!("{other:?}"),
    }
}

/// A record of a case, with the key of the intent.
fn rekey(record: &Record, key: &Key) -> Record {
    let mut record = record.clone();
    match &mut record {
        Record::Intent(r) => r.key = key.clone(),
        Record::Abandon(r) => r.key = key.clone(),
        Record::Done(r) => r.key = key.clone(),
    }
    record
}

#[test]
fn an_intent_wins_only_if_it_is_first() {
    let key = uuid_key(START);
    for case in read_cases() {
        let mut ledger = ledger(0, 0);
        let intent = claim(&mut ledger, &key);
        let attempt = intent.attempt.clone();
        let mut batch: Vec<Record> = case.before.iter().map(|r| rekey(r, &key)).collect();
        batch.push(Record::Intent(intent));
        let events = ledger.apply(&append(0, case.at, &batch));
        match (&events[..], case.loss) {
            ([Event::Won(won)], None) => assert_eq!(*won.attempt(), attempt, "{}", case.name),
            ([Event::Lost { verdict, .. }], Some(loss)) => {
                assert_eq!(*verdict, loss, "{}", case.name);
            }
            (events, loss) => panic!("{}: {events:?}, expected {loss:?}", case.name),
        }
        assert_eq!(
            ledger.pending_records().count(),
            usize::from(case.pending),
            "{}",
            case.name
        );
        assert!(
            ledger.apply(&append(0, case.at, &batch)).is_empty(),
            "{}",
            case.name
        );
    }
}

fn won(ledger: &mut Ledger) -> SendPermit {
    let intent = claim(ledger, &key());
    let offset = ledger.next_offset();
    let events = ledger.apply(&append(offset, START, &[Record::Intent(intent)]));
    match events.into_iter().next() {
        Some(Event::Won(won)) => won,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_win_is_sent_once() {
    let mut ledger = ledger(0, 0);
    let won = won(&mut ledger);
    let sent = ledger.mark_sent(won.clone(), Millis(START)).unwrap();
    let again = ledger.mark_sent(won.clone(), Millis(START));
    assert!(matches!(again, Err(StepError::AlreadySent { .. })));
    assert!(matches!(
        ledger.abandon(won.attempt()),
        Err(StepError::AlreadySent { .. })
    ));
    assert!(ledger.expire_attempts(Millis(START + WINDOW)).is_empty());
    ledger.finish(sent.clone(), response()).unwrap();
    assert!(matches!(
        ledger.finish(sent, response()),
        Err(StepError::NotOpen { .. })
    ));
    assert!(matches!(
        ledger.abandon(won.attempt()),
        Err(StepError::NotOpen { .. })
    ));
}

#[test]
fn a_win_after_its_deadline_is_abandoned() {
    let mut ledger = ledger(0, 0);
    let won = won(&mut ledger);
    let late = ledger
        .mark_sent(won.clone(), Millis(START + CALL_TIMEOUT))
        .unwrap_err();
    assert_eq!(
        late.to_string(),
        "step send, attempt a#2/0: deadline 1000500 ms has passed"
    );
    assert_eq!(
        ledger.pending_records().collect::<Vec<_>>(),
        [&abandon(won.attempt())]
    );
    assert!(matches!(
        ledger.mark_sent(won, Millis(START)),
        Err(StepError::NotOpen { .. })
    ));
}

#[test]
fn a_late_intent_of_an_abandoned_attempt_is_abandoned() {
    let mut ledger = ledger(0, 0);
    let intent = claim(&mut ledger, &key());
    let attempt = intent.attempt.clone();
    let not_run = ledger.abandon(&attempt).unwrap();
    assert_eq!(*not_run.attempt(), attempt);
    assert_eq!(ledger.pending_records().count(), 0);
    assert!(
        ledger
            .apply(&append(0, START, &[Record::Intent(intent)]))
            .is_empty()
    );
    assert_eq!(
        ledger.pending_records().collect::<Vec<_>>(),
        [&abandon(&attempt)]
    );
    ledger.apply(&append(1, START, &[abandon(&attempt)]));
    assert_eq!(ledger.pending_records().count(), 0);
    assert_eq!(
        decide(&mut ledger, &call(&key(), BODY, START)),
        Decision::Claim
    );
}

#[test]
fn an_outcome_is_pending_until_it_is_read_back() {
    let mut ledger = ledger(0, 0);
    let won = won(&mut ledger);
    let sent = ledger.mark_sent(won, Millis(START)).unwrap();
    let record = ledger.finish(sent, response()).unwrap().clone();
    assert_eq!(ledger.pending_records().collect::<Vec<_>>(), [&record]);
    ledger.apply(&append(1, START, &[record]));
    assert_eq!(ledger.pending_records().count(), 0);
    let again = decide(&mut ledger, &call(&key(), BODY, START + 1));
    assert_eq!(again, Decision::Replay(response()));
}

#[test]
fn a_response_counts_from_its_own_record_on() {
    let mut ledger = ledger(0, 0);
    let other = attempt("b", 1);
    let later = START + WINDOW;
    ledger.apply(&append(0, START, &[intent(&other)]));
    ledger.apply(&append(1, later, &[done(&other, response())]));
    ledger.apply(&append(2, START + WINDOW + MAX_AHEAD, &[]));
    let kept = decide(&mut ledger, &call(&key(), BODY, START + WINDOW + MAX_AHEAD));
    assert_eq!(kept, Decision::Replay(response()));
    ledger.apply(&append(3, later + WINDOW + MAX_AHEAD, &[]));
    assert_eq!(ledger.dump().attempts, 0);
}

#[test]
fn a_starting_side_admits_nothing_before_it_has_caught_up() {
    let mut ledger = ledger(3, 5);
    for offset in 3..5 {
        let early = decide(&mut ledger, &call(&key(), BODY, START));
        assert_eq!(early, Decision::Refuse(Reason::LogDown));
        ledger.apply(&append(offset, START, &[]));
    }
    assert_eq!(
        decide(&mut ledger, &call(&key(), BODY, START)),
        Decision::Claim
    );
}

#[test]
fn a_fast_clock_forgets_nothing() {
    let mut ledger = ledger(0, 0);
    ledger.apply(&append(0, START, &[intent(&attempt("b", 1))]));
    let now = START + 2 * WINDOW;
    let key = key();
    let Admission::Claim(intent) = ledger.admit(&call(&key, BODY, now)) else {
        panic!("the key is free by the side's own clock");
    };
    let events = ledger.apply(&append(1, START + 1, &[Record::Intent(intent)]));
    assert!(matches!(
        &events[..],
        [Event::Lost {
            verdict: Verdict::Refuse(Reason::KeyBusy),
            ..
        }]
    ));
}

#[test]
fn an_unreadable_record_blocks_its_window() {
    let mut ledger = ledger(0, 0);
    let key = key();
    let first = claim(&mut ledger, &key);
    let garbage = LogRecord {
        offset: 0,
        at: START,
        data: vec![0xc1],
    };
    assert_eq!(
        ledger.apply(&garbage),
        [Event::Unreadable {
            offset: 0,
            bytes: 1
        }]
    );
    let events = ledger.apply(&append(1, START, &[Record::Intent(first)]));
    assert!(matches!(
        &events[..],
        [Event::Lost {
            verdict: Verdict::Refuse(Reason::LogDown),
            ..
        }]
    ));
    let barred = decide(&mut ledger, &call(&key, BODY, START + WINDOW));
    assert_eq!(barred, Decision::Refuse(Reason::LogDown));
    let free = decide(
        &mut ledger,
        &call(&uuid_key(START + WINDOW), BODY, START + WINDOW + MAX_AHEAD),
    );
    assert_eq!(free, Decision::Claim);
}

#[test]
fn attempts_that_wait_across_a_gap_are_lost() {
    let mut ledger = ledger(0, 0);
    let intent = claim(&mut ledger, &key());
    let events = ledger.apply(&append(7, START, &[Record::Intent(intent)]));
    assert!(matches!(
        &events[..],
        [Event::Lost {
            verdict: Verdict::Refuse(Reason::LogDown),
            ..
        }]
    ));
    assert_eq!(ledger.pending_records().count(), 1);
    assert_eq!(ledger.next_offset(), 8);
}

#[test]
fn expired_entries_release_their_memory() {
    let mut ledger = ledger(0, 0);
    let empty = ledger.memory_bytes();
    let other = attempt("b", 1);
    ledger.apply(&append(
        0,
        START,
        &[intent(&other), done(&other, response())],
    ));
    assert!(ledger.memory_bytes() > empty);
    assert_eq!(ledger.dump().keys, 1);
    ledger.apply(&append(1, START + WINDOW + MAX_AHEAD, &[]));
    assert_eq!(ledger.memory_bytes(), empty);
    assert_eq!(ledger.dump().keys, 0);
}

#[test]
fn the_dump_lists_attempts_in_progress() {
    let mut ledger = ledger(0, 0);
    let won = won(&mut ledger);
    let sent = ledger.mark_sent(won, Millis(START)).unwrap();
    let dump = ledger.dump();
    assert_eq!(dump.own_attempts[0].phase, "sent");
    assert_eq!(dump.own_attempts[0].attempt, *sent.attempt());
    assert_eq!(dump.own_attempts[0].attempt.to_string(), "a#2/0");
    assert_eq!(dump.own_attempts[0].key.to_string(), "c/k");
    assert!(!pumicecleat_types::encode(&dump).is_empty());
}
