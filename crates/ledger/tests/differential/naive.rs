//! Naive implementation: keeps a list of all records read and scans it for each decision.

use pumicecleat_ledger::{Attempt, Digest, Intent, Key, Outcome, Owner, Record, Verdict};
use pumicecleat_types::{LogRecord, Reason};

use crate::trace::{MAX_AHEAD, WINDOW};

const RETENTION: u64 = WINDOW + MAX_AHEAD;

/// Whether an attempt with a key may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    Free,
    Decided(Verdict),
}

/// Result of a record or a timeout, as far as it is compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NaiveEvent {
    Won(Attempt),
    Lost(Attempt, Verdict),
    Unreadable(u64),
}

/// Own attempt in progress.
#[derive(Clone, Debug)]
pub struct NaiveAttempt {
    pub intent: Intent,
    pub won: bool,
    pub sent: bool,
}

/// One append; `records` is `None` if it could not be decoded.
struct ReadAppend {
    at: u64,
    records: Option<Vec<Record>>,
}

/// State of one attempt, as found by a scan.
struct AttemptEntry {
    intent: Intent,
    expires_at: u64,
    abandoned: bool,
    outcome: Option<Outcome>,
}

/// Side with the naive implementation.
pub struct Naive {
    pub owner: Owner,
    pub own_attempts: Vec<NaiveAttempt>,
    pub pending_records: Vec<Record>,
    pub next_offset: u64,
    appends: Vec<ReadAppend>,
}

impl Naive {
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            own_attempts: Vec::new(),
            pending_records: Vec::new(),
            next_offset: 0,
            appends: Vec::new(),
        }
    }

    pub fn clock(&self) -> u64 {
        self.appends.iter().map(|a| a.at).max().unwrap_or(0)
    }

    /// Time until which an unreadable record blocks all calls.
    pub fn blocked_until(&self) -> u64 {
        let mut clock = 0;
        let mut blocked_until = 0;
        for append in &self.appends {
            clock = clock.max(append.at);
            if append.records.is_none() {
                blocked_until = clock + RETENTION;
            }
        }
        blocked_until
    }

    pub fn status(&self, key: &Key, digest: Digest, at: u64) -> KeyStatus {
        let mut entries = self.entries(key);
        entries.retain(|e| e.expires_at > at);
        let reused = KeyStatus::Decided(Verdict::Refuse(Reason::KeyReused));
        if let Some(done) = entries.iter().find(|e| e.outcome.is_some()) {
            return if done.intent.digest == digest {
                replay_or_refuse(done)
            } else {
                reused
            };
        }
        match entries.first() {
            None => return KeyStatus::Free,
            Some(first) if first.intent.digest != digest => return reused,
            Some(_) => {}
        }
        match entries.iter().find(|e| !e.abandoned) {
            None => KeyStatus::Free,
            Some(open) => KeyStatus::Decided(Verdict::Refuse(self.block_reason(open, at))),
        }
    }

    pub fn apply(&mut self, record: &LogRecord) -> Vec<NaiveEvent> {
        if record.offset < self.next_offset {
            return Vec::new();
        }
        let mut out = self.handle_trim(record.offset);
        self.next_offset = record.offset + 1;
        let records = Record::decode_batch(&record.data).ok();
        let Some(records) = records else {
            self.appends.push(ReadAppend {
                at: record.at,
                records: None,
            });
            out.push(NaiveEvent::Unreadable(record.offset));
            return out;
        };
        self.appends.push(ReadAppend {
            at: record.at,
            records: Some(Vec::new()),
        });
        for record in records {
            out.extend(self.apply_record(&record));
        }
        out
    }

    pub fn handle_trim(&mut self, first: u64) -> Vec<NaiveEvent> {
        if first <= self.next_offset {
            return Vec::new();
        }
        self.next_offset = first;
        self.abandon_where(Reason::LogDown, |own| !own.won)
    }

    pub fn expire_attempts(&mut self, now: u64) -> Vec<NaiveEvent> {
        self.abandon_where(Reason::Deadline, |own| {
            !own.sent && own.intent.deadline.0 <= now
        })
    }

    /// Abandons an own attempt.
    pub fn abandon_own(&mut self, attempt: &Attempt) {
        let at = self
            .own_attempts
            .iter()
            .position(|o| o.intent.attempt == *attempt)
            .unwrap();
        let own = self.own_attempts.remove(at);
        if self
            .entries(&own.intent.key)
            .iter()
            .any(|e| e.intent.attempt == *attempt)
        {
            self.queue_abandon(&own.intent);
        }
    }

    fn abandon_where(
        &mut self,
        reason: Reason,
        test: impl Fn(&NaiveAttempt) -> bool,
    ) -> Vec<NaiveEvent> {
        let lost = self.own_attempts.iter().filter(|o| test(o));
        let mut lost: Vec<Attempt> = lost.map(|o| o.intent.attempt.clone()).collect();
        lost.sort();
        for attempt in &lost {
            self.abandon_own(attempt);
        }
        let verdict = Verdict::Refuse(reason);
        lost.into_iter()
            .map(|a| NaiveEvent::Lost(a, verdict.clone()))
            .collect()
    }

    fn apply_record(&mut self, record: &Record) -> Option<NaiveEvent> {
        let happening = match record {
            Record::Intent(intent) => self.apply_intent(intent),
            Record::Abandon(_) | Record::Done(_) => {
                self.pending_records
                    .retain(|r| r.attempt() != record.attempt());
                None
            }
        };
        let last = self.appends.last_mut().unwrap();
        last.records.as_mut().unwrap().push(record.clone());
        happening
    }

    // Called before the intent is added to the records read.
    fn apply_intent(&mut self, intent: &Intent) -> Option<NaiveEvent> {
        let entries = self.entries(&intent.key);
        if entries.iter().any(|e| e.intent.attempt == intent.attempt) {
            return None;
        }
        let time_error = check_key_time(&intent.key, self.clock());
        let has_outcome = time_error.is_some() || entries.iter().any(|e| e.outcome.is_some());
        let status = match time_error {
            Some(reason) => KeyStatus::Decided(Verdict::Refuse(reason)),
            None if self.clock() < self.blocked_until() => {
                KeyStatus::Decided(Verdict::Refuse(Reason::LogDown))
            }
            None => self.status(&intent.key, intent.digest, self.clock()),
        };
        if intent.attempt.owner != self.owner {
            return None;
        }
        let own = self
            .own_attempts
            .iter()
            .position(|o| o.intent.attempt == intent.attempt);
        match (own, status) {
            (None, _) => {
                if !has_outcome {
                    self.queue_abandon(intent);
                }
                None
            }
            (Some(own), KeyStatus::Free) => {
                self.own_attempts[own].won = true;
                Some(NaiveEvent::Won(intent.attempt.clone()))
            }
            (Some(own), KeyStatus::Decided(verdict)) => {
                self.own_attempts.remove(own);
                if !has_outcome {
                    self.queue_abandon(intent);
                }
                Some(NaiveEvent::Lost(intent.attempt.clone(), verdict))
            }
        }
    }

    fn queue_abandon(&mut self, intent: &Intent) {
        self.pending_records
            .retain(|r| *r.attempt() != intent.attempt);
        self.pending_records
            .push(Record::Abandon(pumicecleat_ledger::Abandon {
                attempt: intent.attempt.clone(),
                key: intent.key.clone(),
            }));
    }

    fn block_reason(&self, open: &AttemptEntry, at: u64) -> Reason {
        let other = &open.intent.attempt.owner;
        let is_other_incarnation =
            other.vm == self.owner.vm && other.incarnation != self.owner.incarnation;
        if is_other_incarnation || open.intent.deadline.0 < at {
            Reason::KeyUnknown
        } else {
            Reason::KeyBusy
        }
    }

    // Scans all records read.
    fn entries(&self, key: &Key) -> Vec<AttemptEntry> {
        let mut entries: Vec<AttemptEntry> = Vec::new();
        let mut clock = 0;
        for append in &self.appends {
            clock = clock.max(append.at);
            entries.retain(|e| e.expires_at > clock);
            for record in append.records.iter().flatten() {
                apply_to_entries(&mut entries, record, key, clock);
            }
        }
        entries
    }
}

fn apply_to_entries(entries: &mut Vec<AttemptEntry>, record: &Record, key: &Key, clock: u64) {
    let at = entries
        .iter()
        .position(|e| e.intent.attempt == *record.attempt());
    let expires_at = clock + RETENTION;
    match (record, at) {
        (Record::Intent(i), None) if i.key == *key && check_key_time(key, clock).is_none() => {
            entries.push(AttemptEntry {
                intent: i.clone(),
                expires_at,
                abandoned: false,
                outcome: None,
            });
        }
        (Record::Abandon(a), Some(at)) if a.key == *key => entries[at].abandoned = true,
        (Record::Done(d), None) if d.key == *key => {
            let intent = Intent {
                attempt: d.attempt.clone(),
                key: d.key.clone(),
                digest: d.digest,
                deadline: pumicecleat_types::Millis(0),
            };
            entries.push(AttemptEntry {
                intent,
                expires_at,
                abandoned: false,
                outcome: Some(d.outcome.clone()),
            });
        }
        (Record::Done(d), Some(at)) if d.key == *key && entries[at].outcome.is_none() => {
            entries[at].outcome = Some(d.outcome.clone());
            entries[at].expires_at = expires_at;
        }
        _ => {}
    }
}

fn replay_or_refuse(done: &AttemptEntry) -> KeyStatus {
    KeyStatus::Decided(match &done.outcome {
        Some(outcome @ Outcome::Response(_)) => Verdict::Replay(outcome.clone()),
        _ => Verdict::Refuse(Reason::KeyUnknown),
    })
}

pub fn check_key_time(key: &Key, at: u64) -> Option<Reason> {
    let minted = key.minted()?.0;
    if minted + WINDOW <= at {
        Some(Reason::KeyExpired)
    } else if minted > at + MAX_AHEAD {
        Some(Reason::KeyInvalid)
    } else {
        None
    }
}
