//! Random traces, and both versions side by side.

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use pumicecleat_ledger::{
    Abandon, Admission, Attempt, Call, Digest, Done, Event, Intent, Key, Ledger, Limits,
    OffsetRange, Outcome, Owner, Record, RecordedResponse, SendPermit, SentAttempt, StepError,
    Verdict,
};
use pumicecleat_types::{LogRecord, Millis, Reason};

use crate::naive::{Finding, Happening, Naive, Own, key_age};

pub const WINDOW: u64 = 100;
pub const AHEAD: u64 = 10;

const KEPT: u64 = 1_000;
const START: u64 = 1_000_000;
const TRACE: usize = 80;
const KEYS: u8 = 4;
const ME: (&str, u64) = ("a", 2);

/// One step of a trace.
#[derive(Clone, Debug)]
pub enum Op {
    Admit {
        key: u8,
        body: u8,
        wait: u64,
    },
    /// Own intents and owed records reach the log, so many milliseconds ago by its clock.
    Append {
        ago: u64,
    },
    /// An own intent reaches the log a second time.
    Repeat {
        pick: usize,
    },
    /// Another side's records reach the log.
    Other {
        records: Vec<Record>,
        ago: u64,
    },
    /// Bytes of no known meaning reach the log.
    Garbage,
    Read {
        count: u8,
    },
    /// A record is delivered again.
    Again {
        pick: usize,
    },
    /// The log has trimmed records unread.
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
    Void {
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
        6 => (0..KEYS, 0_u8..2, 0_u64..60).prop_map(|(key, body, wait)| Op::Admit { key, body, wait }),
        6 => (0_u64..20).prop_map(|ago| Op::Append { ago }),
        1 => pick.clone().prop_map(|pick| Op::Repeat { pick }),
        3 => (batch(), 0_u64..20).prop_map(|(records, ago)| Op::Other { records, ago }),
        1 => Just(Op::Garbage),
        8 => (1_u8..4).prop_map(|count| Op::Read { count }),
        1 => pick.clone().prop_map(|pick| Op::Again { pick }),
        1 => (1_u8..3).prop_map(|count| Op::Trim { count }),
        5 => pick.clone().prop_map(|pick| Op::Send { pick }),
        4 => (pick.clone(), any::<bool>()).prop_map(|(pick, lost)| Op::Finish { pick, lost }),
        2 => pick.prop_map(|pick| Op::Void { pick }),
        1 => Just(Op::Expire),
        3 => (1_u64..70).prop_map(|step| Op::Tick { step }),
    ];
    prop::collection::vec(op, 1..TRACE)
}

/// Records of another side, or of this side's predecessor.
pub fn batch() -> impl Strategy<Value = Vec<Record>> {
    let owner = prop_oneof![Just(("a", 1)), Just(("b", 1)), Just(("b", 2))];
    let record = (owner, 0_u64..3, 0..KEYS, 0_u8..2, 0_u8..4, 0_u64..60);
    let record = record.prop_map(|(by, seq, key, body, kind, wait)| {
        let attempt = Attempt {
            owner: owner_of(by),
            seq,
        };
        foreign(attempt, key, body, kind, wait)
    });
    prop::collection::vec(record, 1..4)
}

pub fn side() -> Ledger {
    let limits = Limits::new(Millis(WINDOW), Millis(AHEAD), Millis(KEPT)).unwrap();
    Ledger::new(owner_of(ME), limits, OffsetRange { first: 0, end: 0 })
}

/// Both versions, and the log they read.
pub struct Pair {
    real: Ledger,
    naive: Naive,
    log: Vec<LogRecord>,
    pending: Vec<Record>,
    intents: Vec<Record>,
    won: Vec<SendPermit>,
    sent: Vec<SentAttempt>,
    now: u64,
    seq: u64,
}

type Checked = Result<(), TestCaseError>;

impl Pair {
    pub fn new() -> Self {
        Self {
            real: side(),
            naive: Naive::new(owner_of(ME)),
            log: Vec::new(),
            pending: Vec::new(),
            intents: Vec::new(),
            won: Vec::new(),
            sent: Vec::new(),
            now: START,
            seq: 0,
        }
    }

    pub fn step(&mut self, op: &Op) -> Checked {
        match op {
            Op::Admit { key, body, wait } => self.admit(*key, *body, *wait)?,
            Op::Append { ago } => self.append_own(*ago),
            Op::Repeat { pick } => {
                let again = self.intents.get(*pick).cloned();
                self.append(&again.into_iter().collect::<Vec<_>>(), 0);
            }
            Op::Other { records, ago } => self.append(records, *ago),
            Op::Garbage => self.push(vec![0xc1], 0),
            Op::Read { count } => (0..*count).try_for_each(|_| self.read())?,
            Op::Again { pick } => self.again(*pick)?,
            Op::Trim { count } => self.trim(*count)?,
            Op::Send { pick } => self.send(*pick)?,
            Op::Finish { pick, lost } => self.finish(*pick, *lost),
            Op::Void { pick } => self.void(*pick)?,
            Op::Expire => self.expire()?,
            Op::Tick { step } => self.now += step,
        }
        self.compare()
    }

    fn compare(&self) -> Checked {
        prop_assert_eq!(self.real.next_offset(), self.naive.next);
        let real: Vec<&Record> = self.real.pending_records().collect();
        let mut naive: Vec<&Record> = self.naive.owed.iter().collect();
        naive.sort_by_key(|r| r.attempt());
        prop_assert_eq!(real, naive);
        let own = self.real.dump().own_attempts;
        prop_assert_eq!(own.len(), self.naive.own.len());
        Ok(())
    }

    fn admit(&mut self, key: u8, body: u8, wait: u64) -> Checked {
        let (key, digest) = (key_of(key), Digest::of(&[body]));
        let (now, deadline) = (Millis(self.now), Millis(self.now + wait));
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
                Finding::Free
            }
            Admission::Replay(outcome) => Finding::Lost(Verdict::Replay(outcome.clone())),
            Admission::Refuse(reason) => Finding::Lost(Verdict::Refuse(reason)),
        };
        prop_assert_eq!(found, expected);
        Ok(())
    }

    fn expected(&self, call: &Call<'_>) -> Finding {
        let now = call.now.0;
        let early = if now < self.naive.blind() {
            Some(Reason::LogDown)
        } else if let Some(reason) = key_age(call.key, now) {
            Some(reason)
        } else {
            (call.deadline <= call.now).then_some(Reason::Deadline)
        };
        match early {
            Some(reason) => Finding::Lost(Verdict::Refuse(reason)),
            None => self.naive.find(call.key, call.digest, now),
        }
    }

    fn claim(&mut self, intent: Intent) -> Checked {
        prop_assert_eq!(intent.attempt.seq, self.seq);
        prop_assert!(intent.deadline.0 <= self.now + WINDOW / 2);
        self.seq += 1;
        self.naive.own.push(Own {
            intent: intent.clone(),
            won: false,
            sent: false,
        });
        self.intents.push(Record::Intent(intent.clone()));
        self.pending.push(Record::Intent(intent));
        Ok(())
    }

    fn append_own(&mut self, ago: u64) {
        let mut records = std::mem::take(&mut self.pending);
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

    fn read(&mut self) -> Checked {
        let next = usize::try_from(self.real.next_offset()).unwrap();
        match self.log.get(next).cloned() {
            Some(record) => self.deliver(&record),
            None => Ok(()),
        }
    }

    fn again(&mut self, pick: usize) -> Checked {
        let record = self.log.get(pick).cloned();
        match record {
            Some(record) if record.offset < self.real.next_offset() => self.deliver(&record),
            _ => Ok(()),
        }
    }

    fn deliver(&mut self, record: &LogRecord) -> Checked {
        let real = self.real.apply(record);
        let naive = self.naive.read(record);
        self.meet(real, &naive)
    }

    fn trim(&mut self, count: u8) -> Checked {
        let first = self.real.next_offset() + u64::from(count);
        if first > self.log.len() as u64 {
            return Ok(());
        }
        let real = self.real.handle_trim(first);
        let naive = self.naive.trimmed(first);
        self.meet(real, &naive)
    }

    fn expire(&mut self) -> Checked {
        let real = self.real.expire_attempts(Millis(self.now));
        let naive = self.naive.expire(self.now);
        self.meet(real, &naive)
    }

    fn meet(&mut self, real: Vec<Event>, naive: &[Happening]) -> Checked {
        let found: Vec<Happening> = real.iter().map(happening).collect();
        prop_assert_eq!(&found[..], naive);
        for event in real {
            if let Event::Won(won) = event {
                self.won.push(won);
            }
        }
        Ok(())
    }

    fn send(&mut self, pick: usize) -> Checked {
        let Some(won) = self.won.get(pick).cloned() else {
            return Ok(());
        };
        let attempt = won.attempt().clone();
        let real = self.real.mark_sent(won, Millis(self.now));
        let own = self
            .naive
            .own
            .iter_mut()
            .find(|o| o.intent.attempt == attempt);
        match (real, own) {
            (Err(StepError::NotOpen { .. }), None) => {}
            (Err(StepError::AlreadySent { .. }), Some(own)) => prop_assert!(own.sent),
            (Err(StepError::DeadlinePassed { .. }), Some(own)) => {
                prop_assert!(own.intent.deadline.0 <= self.now);
                self.naive.give_up(&attempt);
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
            answer(attempt.seq)
        };
        let record = self.real.finish(sent, outcome).unwrap().clone();
        self.naive.own.retain(|o| o.intent.attempt != attempt);
        self.naive.owed.push(record);
    }

    fn void(&mut self, pick: usize) -> Checked {
        let Some(attempt) = self.intents.get(pick).map(|r| r.attempt().clone()) else {
            return Ok(());
        };
        let real = self.real.abandon(&attempt);
        let own = self.naive.own.iter().find(|o| o.intent.attempt == attempt);
        match (real, own) {
            (Ok(_), Some(own)) => {
                prop_assert!(!own.sent);
                self.naive.give_up(&attempt);
            }
            (Err(StepError::AlreadySent { .. }), Some(own)) => prop_assert!(own.sent),
            (Err(StepError::NotOpen { .. }), None) => {}
            (real, own) => prop_assert!(false, "{real:?} {own:?}"),
        }
        Ok(())
    }
}

fn happening(event: &Event) -> Happening {
    match event {
        Event::Won(won) => Happening::Won(won.attempt().clone()),
        Event::Lost { attempt, verdict } => Happening::Lost(attempt.clone(), verdict.clone()),
        Event::Unreadable { offset, .. } => Happening::Unreadable(*offset),
    }
}

fn owner_of((vm, incarnation): (&str, u64)) -> Owner {
    Owner {
        vm: vm.into(),
        incarnation,
    }
}

/// Two opaque keys, then two that carry a time.
fn key_of(key: u8) -> Key {
    let text = match key {
        0 => "seat-1".to_owned(),
        1 => "seat-2".to_owned(),
        2 => timed(START),
        _ => timed(START + 2 * AHEAD),
    };
    Key::parse(&"c".into(), &text).unwrap()
}

fn timed(at: u64) -> String {
    uuid::Builder::from_unix_timestamp_millis(at, &[7; 10])
        .into_uuid()
        .to_string()
}

fn answer(seq: u64) -> Outcome {
    Outcome::Response(RecordedResponse::new(
        200,
        Vec::new(),
        &seq.to_be_bytes(),
        64,
    ))
}

fn foreign(attempt: Attempt, key: u8, body: u8, kind: u8, wait: u64) -> Record {
    let (key, digest) = (key_of(key), Digest::of(&[body]));
    match kind {
        0 => Record::Abandon(Abandon { attempt, key }),
        1 => {
            let outcome = if body == 0 {
                Outcome::Unknown
            } else {
                answer(attempt.seq)
            };
            Record::Done(Done {
                attempt,
                key,
                digest,
                outcome,
            })
        }
        _ => {
            let deadline = Millis(START + wait);
            Record::Intent(Intent {
                attempt,
                key,
                digest,
                deadline,
            })
        }
    }
}
