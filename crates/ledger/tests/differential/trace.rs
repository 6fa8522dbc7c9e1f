//! Random traces, run through both implementations with their results compared.

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use pumicecleat_ledger::{
    Abandon, Admission, Attempt, Call, Digest, Done, Event, Intent, Key, Ledger, Limits,
    OffsetRange, Outcome, Owner, Record, RecordedResponse, SendPermit, SentAttempt, StepError,
    Verdict,
};
use pumicecleat_types::{LogRecord, Millis, Reason};

use crate::naive::{KeyStatus, Naive, NaiveAttempt, NaiveEvent, check_key_time};

pub const WINDOW: u64 = 100;
pub const MAX_AHEAD: u64 = 10;

const LOG_RETENTION: u64 = 1_000;
const START: u64 = 1_000_000;
const MAX_OPS: usize = 80;
const KEYS: u8 = 4;
const OWNER: (&str, u64) = ("a", 2);

/// One step of a trace.
#[derive(Clone, Debug)]
pub enum Op {
    Admit {
        key: u8,
        body: u8,
        timeout: u64,
    },
    /// Own intents and pending records are appended `ago` milliseconds before now, by the log's
    /// clock.
    Append {
        ago: u64,
    },
    /// An own intent is appended again.
    AppendAgain {
        pick: usize,
    },
    /// Records of another side are appended.
    AppendForeign {
        records: Vec<Record>,
        ago: u64,
    },
    /// A record that can't be decoded is appended.
    AppendGarbage,
    Read {
        count: u8,
    },
    /// A record that was read before is delivered again.
    Redeliver {
        pick: usize,
    },
    /// The log trims records that were not read.
    Trim {
        count: u8,
    },
    Send {
        pick: usize,
    },
    Finish {
        pick: usize,
        lost: bool,
    },
    Abandon {
        pick: usize,
    },
    Expire,
    Tick {
        step: u64,
    },
}

pub fn ops() -> impl Strategy<Value = Vec<Op>> {
    let pick = 0_usize..4;
    let op = prop_oneof![
        6 => (0..KEYS, 0_u8..2, 0_u64..60).prop_map(|(key, body, timeout)| Op::Admit { key, body, timeout }),
        6 => (0_u64..20).prop_map(|ago| Op::Append { ago }),
        1 => pick.clone().prop_map(|pick| Op::AppendAgain { pick }),
        3 => (batch(), 0_u64..20).prop_map(|(records, ago)| Op::AppendForeign { records, ago }),
        1 => Just(Op::AppendGarbage),
        8 => (1_u8..4).prop_map(|count| Op::Read { count }),
        1 => pick.clone().prop_map(|pick| Op::Redeliver { pick }),
        1 => (1_u8..3).prop_map(|count| Op::Trim { count }),
        5 => pick.clone().prop_map(|pick| Op::Send { pick }),
        4 => (pick.clone(), any::<bool>()).prop_map(|(pick, lost)| Op::Finish { pick, lost }),
        2 => pick.prop_map(|pick| Op::Abandon { pick }),
        1 => Just(Op::Expire),
        3 => (1_u64..70).prop_map(|step| Op::Tick { step }),
    ];
    prop::collection::vec(op, 1..MAX_OPS)
}

/// Records of another side, or of an earlier incarnation of this one.
pub fn batch() -> impl Strategy<Value = Vec<Record>> {
    let owner = prop_oneof![Just(("a", 1)), Just(("b", 1)), Just(("b", 2))];
    let record = (owner, 0_u64..3, 0..KEYS, 0_u8..2, 0_u8..4, 0_u64..60);
    let record = record.prop_map(|(owner, seq, key, body, kind, timeout)| {
        let attempt = Attempt {
            owner: owner_of(owner),
            seq,
        };
        foreign_record(attempt, key, body, kind, timeout)
    });
    prop::collection::vec(record, 1..4)
}

pub fn new_ledger() -> Ledger {
    let limits = Limits::new(Millis(WINDOW), Millis(MAX_AHEAD), Millis(LOG_RETENTION)).unwrap();
    Ledger::new(owner_of(OWNER), limits, OffsetRange { first: 0, end: 0 })
}

/// Both implementations, and the log they read.
pub struct Pair {
    real: Ledger,
    naive: Naive,
    log: Vec<LogRecord>,
    unappended: Vec<Record>,
    intents: Vec<Record>,
    won: Vec<SendPermit>,
    sent: Vec<SentAttempt>,
    now: u64,
    seq: u64,
}

type CheckResult = Result<(), TestCaseError>;

impl Pair {
    pub fn new() -> Self {
        Self {
            real: new_ledger(),
            naive: Naive::new(owner_of(OWNER)),
            log: Vec::new(),
            unappended: Vec::new(),
            intents: Vec::new(),
            won: Vec::new(),
            sent: Vec::new(),
            now: START,
            seq: 0,
        }
    }

    pub fn step(&mut self, op: &Op) -> CheckResult {
        match op {
            Op::Admit { key, body, timeout } => self.admit(*key, *body, *timeout)?,
            Op::Append { ago } => self.append_own(*ago),
            Op::AppendAgain { pick } => {
                let again = self.intents.get(*pick).cloned();
                self.append(&again.into_iter().collect::<Vec<_>>(), 0);
            }
            Op::AppendForeign { records, ago } => self.append(records, *ago),
            Op::AppendGarbage => self.push(vec![0xc1], 0),
            Op::Read { count } => (0..*count).try_for_each(|_| self.read())?,
            Op::Redeliver { pick } => self.redeliver(*pick)?,
            Op::Trim { count } => self.trim(*count)?,
            Op::Send { pick } => self.send(*pick)?,
            Op::Finish { pick, lost } => self.finish(*pick, *lost),
            Op::Abandon { pick } => self.abandon(*pick)?,
            Op::Expire => self.expire()?,
            Op::Tick { step } => self.now += step,
        }
        self.compare()
    }

    fn compare(&self) -> CheckResult {
        prop_assert_eq!(self.real.next_offset(), self.naive.next_offset);
        let real: Vec<&Record> = self.real.pending_records().collect();
        let mut naive: Vec<&Record> = self.naive.pending_records.iter().collect();
        naive.sort_by_key(|r| r.attempt());
        prop_assert_eq!(real, naive);
        let own = self.real.dump().own_attempts;
        prop_assert_eq!(own.len(), self.naive.own_attempts.len());
        Ok(())
    }

    fn admit(&mut self, key: u8, body: u8, timeout: u64) -> CheckResult {
        let (key, digest) = (key_of(key), Digest::of(&[body]));
        let (now, deadline) = (Millis(self.now), Millis(self.now + timeout));
        let call = Call {
            key: &key,
            digest,
            now,
            deadline,
        };
        let expected = self.expected(&call);
        let found = match self.real.admit(&call) {
            Admission::Claim(intent) => {
                self.claim(intent)?;
                KeyStatus::Free
            }
            Admission::Replay(outcome) => KeyStatus::Decided(Verdict::Replay(outcome.clone())),
            Admission::Refuse(reason) => KeyStatus::Decided(Verdict::Refuse(reason)),
        };
        prop_assert_eq!(found, expected);
        Ok(())
    }

    fn expected(&self, call: &Call<'_>) -> KeyStatus {
        let now = call.now.0;
        let early = if now < self.naive.blocked_until() {
            Some(Reason::LogDown)
        } else if let Some(reason) = check_key_time(call.key, now) {
            Some(reason)
        } else {
            (call.deadline <= call.now).then_some(Reason::Deadline)
        };
        match early {
            Some(reason) => KeyStatus::Decided(Verdict::Refuse(reason)),
            None => self.naive.status(call.key, call.digest, now),
        }
    }

    fn claim(&mut self, intent: Intent) -> CheckResult {
        prop_assert_eq!(intent.attempt.seq, self.seq);
        prop_assert!(intent.deadline.0 <= self.now + WINDOW / 2);
        self.seq += 1;
        self.naive.own_attempts.push(NaiveAttempt {
            intent: intent.clone(),
            won: false,
            sent: false,
        });
        self.intents.push(Record::Intent(intent.clone()));
        self.unappended.push(Record::Intent(intent));
        Ok(())
    }

    fn append_own(&mut self, ago: u64) {
        let mut records = std::mem::take(&mut self.unappended);
        records.extend(self.real.pending_records().cloned());
        self.append(&records, ago);
    }

    fn append(&mut self, records: &[Record], ago: u64) {
        if !records.is_empty() {
            self.push(Record::encode_batch(records), ago);
        }
    }

    fn push(&mut self, data: Vec<u8>, ago: u64) {
        let offset = self.log.len() as u64;
        self.log.push(LogRecord {
            offset,
            at: self.now - ago,
            data,
        });
    }

    fn read(&mut self) -> CheckResult {
        let next = usize::try_from(self.real.next_offset()).unwrap();
        match self.log.get(next).cloned() {
            Some(record) => self.deliver(&record),
            None => Ok(()),
        }
    }

    fn redeliver(&mut self, pick: usize) -> CheckResult {
        let record = self.log.get(pick).cloned();
        match record {
            Some(record) if record.offset < self.real.next_offset() => self.deliver(&record),
            _ => Ok(()),
        }
    }

    fn deliver(&mut self, record: &LogRecord) -> CheckResult {
        let real = self.real.apply(record);
        let naive = self.naive.apply(record);
        self.compare_events(real, &naive)
    }

    fn trim(&mut self, count: u8) -> CheckResult {
        let first = self.real.next_offset() + u64::from(count);
        if first > self.log.len() as u64 {
            return Ok(());
        }
        let real = self.real.handle_trim(first);
        let naive = self.naive.handle_trim(first);
        self.compare_events(real, &naive)
    }

    fn expire(&mut self) -> CheckResult {
        let real = self.real.expire_attempts(Millis(self.now));
        let naive = self.naive.expire_attempts(self.now);
        self.compare_events(real, &naive)
    }

    fn compare_events(&mut self, real: Vec<Event>, naive: &[NaiveEvent]) -> CheckResult {
        let found: Vec<NaiveEvent> = real.iter().map(naive_event).collect();
        prop_assert_eq!(&found[..], naive);
        for event in real {
            if let Event::Won(won) = event {
                self.won.push(won);
            }
        }
        Ok(())
    }

    fn send(&mut self, pick: usize) -> CheckResult {
        let Some(won) = self.won.get(pick).cloned() else {
            return Ok(());
        };
        let attempt = won.attempt().clone();
        let real = self.real.mark_sent(won, Millis(self.now));
        let own = self
            .naive
            .own_attempts
            .iter_mut()
            .find(|o| o.intent.attempt == attempt);
        match (real, own) {
            (Err(StepError::NotOpen { .. }), None) => {}
            (Err(StepError::AlreadySent { .. }), Some(own)) => prop_assert!(own.sent),
            (Err(StepError::DeadlinePassed { .. }), Some(own)) => {
                prop_assert!(own.intent.deadline.0 <= self.now);
                self.naive.abandon_own(&attempt);
            }
            (Ok(sent), Some(own)) => {
                prop_assert!(own.won && !own.sent && own.intent.deadline.0 > self.now);
                own.sent = true;
                self.sent.push(sent);
            }
            (real, own) => prop_assert!(false, "{real:?} {own:?}"),
        }
        Ok(())
    }

    fn finish(&mut self, pick: usize, lost: bool) {
        if pick >= self.sent.len() {
            return;
        }
        let sent = self.sent.remove(pick);
        let attempt = sent.attempt().clone();
        let outcome = if lost {
            Outcome::Unknown
        } else {
            response(attempt.seq)
        };
        let record = self.real.finish(sent, outcome).unwrap().clone();
        self.naive
            .own_attempts
            .retain(|o| o.intent.attempt != attempt);
        self.naive.pending_records.push(record);
    }

    fn abandon(&mut self, pick: usize) -> CheckResult {
        let Some(attempt) = self.intents.get(pick).map(|r| r.attempt().clone()) else {
            return Ok(());
        };
        let real = self.real.abandon(&attempt);
        let own = self
            .naive
            .own_attempts
            .iter()
            .find(|o| o.intent.attempt == attempt);
        match (real, own) {
            (Ok(_), Some(own)) => {
                prop_assert!(!own.sent);
                self.naive.abandon_own(&attempt);
            }
            (Err(StepError::AlreadySent { .. }), Some(own)) => prop_assert!(own.sent),
            (Err(StepError::NotOpen { .. }), None) => {}
            (real, own) => prop_assert!(false, "{real:?} {own:?}"),
        }
        Ok(())
    }
}

fn naive_event(event: &Event) -> NaiveEvent {
    match event {
        Event::Won(won) => NaiveEvent::Won(won.attempt().clone()),
        Event::Lost { attempt, verdict } => NaiveEvent::Lost(attempt.clone(), verdict.clone()),
        Event::Unreadable { offset, .. } => NaiveEvent::Unreadable(*offset),
    }
}

fn owner_of((vm, incarnation): (&str, u64)) -> Owner {
    Owner {
        vm: vm.into(),
        incarnation,
    }
}

/// Keys 0 and 1 are opaque; the others are UUIDs that contain a time.
fn key_of(key: u8) -> Key {
    let text = match key {
        0 => "seat-1".to_owned(),
        1 => "seat-2".to_owned(),
        2 => uuid_text(START),
        _ => uuid_text(START + 2 * MAX_AHEAD),
    };
    Key::parse(&"c".into(), &text).unwrap()
}

fn uuid_text(at: u64) -> String {
    uuid::Builder::from_unix_timestamp_millis(at, &[7; 10])
        .into_uuid()
        .to_string()
}

fn response(seq: u64) -> Outcome {
    Outcome::Response(RecordedResponse::new(
        200,
        Vec::new(),
        &seq.to_be_bytes(),
        64,
    ))
}

fn foreign_record(attempt: Attempt, key: u8, body: u8, kind: u8, timeout: u64) -> Record {
    let (key, digest) = (key_of(key), Digest::of(&[body]));
    match kind {
        0 => Record::Abandon(Abandon { attempt, key }),
        1 => {
            let outcome = if body == 0 {
                Outcome::Unknown
            } else {
                response(attempt.seq)
            };
            Record::Done(Done {
                attempt,
                key,
                digest,
                outcome,
            })
        }
        _ => {
            let deadline = Millis(START + timeout);
            Record::Intent(Intent {
                attempt,
                key,
                digest,
                deadline,
            })
        }
    }
}
