//! The naive version: all records read so far in a list, scanned anew for each question.

use pumicecleat_ledger::{Attempt, Digest, Intent, Key, Outcome, Owner, Record, Verdict};
use pumicecleat_types::{LogRecord, Reason};

use crate::trace::{AHEAD, WINDOW};

const KEEP: u64 = WINDOW + AHEAD;

/// Answer to a question on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    Free,
    Lost(Verdict),
}

/// What a record led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Happening {
    Won(Attempt),
    Lost(Attempt, Verdict),
    Unreadable(u64),
}

/// Own attempt under way.
#[derive(Clone, Debug)]
pub struct Own {
    pub intent: Intent,
    pub won: bool,
    pub sent: bool,
}

/// One append, as read.
struct Seen {
    at: u64,
    records: Option<Vec<Record>>,
}

/// What a scan finds of one attempt.
struct Mark {
    intent: Intent,
    until: u64,
    void: bool,
    outcome: Option<Outcome>,
}

/// Naive side.
pub struct Naive {
    pub owner: Owner,
    pub own: Vec<Own>,
    pub owed: Vec<Record>,
    pub next: u64,
    seen: Vec<Seen>,
}

impl Naive {
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            own: Vec::new(),
            owed: Vec::new(),
            next: 0,
            seen: Vec::new(),
        }
    }

    pub fn clock(&self) -> u64 {
        self.seen.iter().map(|s| s.at).max().unwrap_or(0)
    }

    /// Time until which an unreadable record bars every call.
    pub fn blind(&self) -> u64 {
        let mut clock = 0;
        let mut blind = 0;
        for seen in &self.seen {
            clock = clock.max(seen.at);
            if seen.records.is_none() {
                blind = clock + KEEP;
            }
        }
        blind
    }

    pub fn find(&self, key: &Key, digest: Digest, at: u64) -> Finding {
        let mut marks = self.marks(key);
        marks.retain(|m| m.until > at);
        let reused = Finding::Lost(Verdict::Refuse(Reason::KeyReused));
        if let Some(done) = marks.iter().find(|m| m.outcome.is_some()) {
            return if done.intent.digest == digest {
                ran(done)
            } else {
                reused
            };
        }
        match marks.first() {
            None => return Finding::Free,
            Some(first) if first.intent.digest != digest => return reused,
            Some(_) => {}
        }
        match marks.iter().find(|m| !m.void) {
            None => Finding::Free,
            Some(open) => Finding::Lost(Verdict::Refuse(self.bar(open, at))),
        }
    }

    pub fn read(&mut self, record: &LogRecord) -> Vec<Happening> {
        if record.offset < self.next {
            return Vec::new();
        }
        let mut out = self.trimmed(record.offset);
        self.next = record.offset + 1;
        let records = Record::decode_batch(&record.data).ok();
        let Some(records) = records else {
            self.seen.push(Seen {
                at: record.at,
                records: None,
            });
            out.push(Happening::Unreadable(record.offset));
            return out;
        };
        self.seen.push(Seen {
            at: record.at,
            records: Some(Vec::new()),
        });
        for record in records {
            out.extend(self.fold(&record));
        }
        out
    }

    pub fn trimmed(&mut self, first: u64) -> Vec<Happening> {
        if first <= self.next {
            return Vec::new();
        }
        self.next = first;
        self.lose_where(Reason::LogDown, |own| !own.won)
    }

    pub fn expire(&mut self, now: u64) -> Vec<Happening> {
        self.lose_where(Reason::Deadline, |own| {
            !own.sent && own.intent.deadline.0 <= now
        })
    }

    /// Voids an own attempt.
    pub fn give_up(&mut self, attempt: &Attempt) {
        let at = self
            .own
            .iter()
            .position(|o| o.intent.attempt == *attempt)
            .unwrap();
        let own = self.own.remove(at);
        if self
            .marks(&own.intent.key)
            .iter()
            .any(|m| m.intent.attempt == *attempt)
        {
            self.owe_abandon(&own.intent);
        }
    }

    fn lose_where(&mut self, reason: Reason, test: impl Fn(&Own) -> bool) -> Vec<Happening> {
        let lost = self.own.iter().filter(|o| test(o));
        let mut lost: Vec<Attempt> = lost.map(|o| o.intent.attempt.clone()).collect();
        lost.sort();
        for attempt in &lost {
            self.give_up(attempt);
        }
        let verdict = Verdict::Refuse(reason);
        lost.into_iter()
            .map(|a| Happening::Lost(a, verdict.clone()))
            .collect()
    }

    fn fold(&mut self, record: &Record) -> Option<Happening> {
        let happening = match record {
            Record::Intent(intent) => self.fold_intent(intent),
            Record::Abandon(_) | Record::Done(_) => {
                self.owed.retain(|o| o.attempt() != record.attempt());
                None
            }
        };
        let last = self.seen.last_mut().unwrap();
        last.records.as_mut().unwrap().push(record.clone());
        happening
    }

    // Called before the intent is among the records seen.
    fn fold_intent(&mut self, intent: &Intent) -> Option<Happening> {
        let marks = self.marks(&intent.key);
        if marks.iter().any(|m| m.intent.attempt == intent.attempt) {
            return None;
        }
        let bad = key_age(&intent.key, self.clock());
        let done = bad.is_some() || marks.iter().any(|m| m.outcome.is_some());
        let finding = match bad {
            Some(reason) => Finding::Lost(Verdict::Refuse(reason)),
            None if self.clock() < self.blind() => Finding::Lost(Verdict::Refuse(Reason::LogDown)),
            None => self.find(&intent.key, intent.digest, self.clock()),
        };
        if intent.attempt.owner != self.owner {
            return None;
        }
        let own = self
            .own
            .iter()
            .position(|o| o.intent.attempt == intent.attempt);
        match (own, finding) {
            (None, _) => {
                if !done {
                    self.owe_abandon(intent);
                }
                None
            }
            (Some(own), Finding::Free) => {
                self.own[own].won = true;
                Some(Happening::Won(intent.attempt.clone()))
            }
            (Some(own), Finding::Lost(verdict)) => {
                self.own.remove(own);
                if !done {
                    self.owe_abandon(intent);
                }
                Some(Happening::Lost(intent.attempt.clone(), verdict))
            }
        }
    }

    fn owe_abandon(&mut self, intent: &Intent) {
        self.owed.retain(|o| *o.attempt() != intent.attempt);
        self.owed.push(Record::Abandon(pumicecleat_ledger::Abandon {
            attempt: intent.attempt.clone(),
            key: intent.key.clone(),
        }));
    }

    fn bar(&self, open: &Mark, at: u64) -> Reason {
        let by = &open.intent.attempt.owner;
        let kin = by.vm == self.owner.vm && by.incarnation != self.owner.incarnation;
        if kin || open.intent.deadline.0 < at {
            Reason::KeyUnknown
        } else {
            Reason::KeyBusy
        }
    }

    // Goes through the whole log.
    fn marks(&self, key: &Key) -> Vec<Mark> {
        let mut marks: Vec<Mark> = Vec::new();
        let mut clock = 0;
        for seen in &self.seen {
            clock = clock.max(seen.at);
            marks.retain(|m| m.until > clock);
            for record in seen.records.iter().flatten() {
                note(&mut marks, record, key, clock);
            }
        }
        marks
    }
}

fn note(marks: &mut Vec<Mark>, record: &Record, key: &Key, clock: u64) {
    let at = marks
        .iter()
        .position(|m| m.intent.attempt == *record.attempt());
    let until = clock + KEEP;
    match (record, at) {
        (Record::Intent(i), None) if i.key == *key && key_age(key, clock).is_none() => {
            marks.push(Mark {
                intent: i.clone(),
                until,
                void: false,
                outcome: None,
            });
        }
        (Record::Abandon(a), Some(at)) if a.key == *key => marks[at].void = true,
        (Record::Done(d), None) if d.key == *key => {
            let intent = Intent {
                attempt: d.attempt.clone(),
                key: d.key.clone(),
                digest: d.digest,
                deadline: pumicecleat_types::Millis(0),
            };
            marks.push(Mark {
                intent,
                until,
                void: false,
                outcome: Some(d.outcome.clone()),
            });
        }
        (Record::Done(d), Some(at)) if d.key == *key && marks[at].outcome.is_none() => {
            marks[at].outcome = Some(d.outcome.clone());
            marks[at].until = until;
        }
        _ => {}
    }
}

fn ran(done: &Mark) -> Finding {
    Finding::Lost(match &done.outcome {
        Some(outcome @ Outcome::Response(_)) => Verdict::Replay(outcome.clone()),
        _ => Verdict::Refuse(Reason::KeyUnknown),
    })
}

pub fn key_age(key: &Key, at: u64) -> Option<Reason> {
    let minted = key.minted()?.0;
    if minted + WINDOW <= at {
        Some(Reason::KeyExpired)
    } else if minted > at + AHEAD {
        Some(Reason::KeyInvalid)
    } else {
        None
    }
}
