//! Reading the stream: what each record changes, and which own attempts it decides.

use pumicecleat_types::{LogRecord, Millis, Reason};

use super::admit::key_age;
use super::book::Finding;
use super::own::Phase;
use super::{Ledger, SendPermit};
use crate::{Abandon, Attempt, Done, Intent, Key, Outcome, Record};

/// Something for the side to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An own attempt may be sent.
    Won(SendPermit),
    /// An own attempt will never be sent.
    Lost {
        /// Attempt.
        attempt: Attempt,
        /// What to tell its caller.
        verdict: Verdict,
    },
    /// A record could not be read. It may hold an intent, so that no call can win before it has
    /// left the window.
    Unreadable {
        /// Offset.
        offset: u64,
        /// Length, bytes.
        bytes: usize,
    },
}

/// Last word on an attempt that was not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Another attempt ran: pass on what came of it.
    Replay(Outcome),
    /// This attempt was not run.
    Refuse(Reason),
}

impl Ledger {
    /// Takes the next record of the stream. One that was read before changes nothing.
    pub fn apply(&mut self, record: &LogRecord) -> Vec<Event> {
        if record.offset < self.next {
            return Vec::new();
        }
        let mut events = self.handle_trim(record.offset);
        self.next = record.offset + 1;
        self.clock = self.clock.max(Millis(record.at));
        self.book.forget(self.clock);
        match Record::decode_batch(&record.data) {
            Ok(batch) => events.extend(batch.iter().filter_map(|r| self.fold(r))),
            Err(_) => events.push(self.blinded(record)),
        }
        events
    }

    /// Voids own attempts whose deadline has passed before they were sent.
    pub fn expire_attempts(&mut self, now: Millis) -> Vec<Event> {
        self.void_where(Reason::Deadline, |deadline, phase| {
            phase != Phase::Sent && deadline <= now
        })
    }

    /// Notes that the stream keeps nothing before `first`, which a reader far behind is told.
    ///
    /// Own attempts whose intent hasn't been read back are lost: the window before it may hold
    /// records that were trimmed unread.
    pub fn handle_trim(&mut self, first: u64) -> Vec<Event> {
        if first <= self.next {
            return Vec::new();
        }
        self.next = first;
        self.void_where(Reason::LogDown, |_, phase| phase == Phase::Waiting)
    }

    fn blinded(&mut self, record: &LogRecord) -> Event {
        self.blind = self.clock + self.limits.keep();
        Event::Unreadable {
            offset: record.offset,
            bytes: record.data.len(),
        }
    }

    fn void_where(&mut self, reason: Reason, test: impl Fn(Millis, Phase) -> bool) -> Vec<Event> {
        let own = self.own.iter();
        let hit = own.filter(|(_, own)| test(own.deadline, own.phase));
        let attempts: Vec<Attempt> = hit.map(|(attempt, _)| attempt.clone()).collect();
        let lost = attempts.into_iter().map(|attempt| {
            self.drop_own(&attempt);
            Event::Lost {
                attempt,
                verdict: Verdict::Refuse(reason),
            }
        });
        lost.collect()
    }

    fn fold(&mut self, record: &Record) -> Option<Event> {
        match record {
            Record::Intent(intent) => self.fold_intent(intent),
            Record::Abandon(abandon) => {
                self.fold_abandon(abandon);
                None
            }
            Record::Done(done) => {
                self.fold_done(done);
                None
            }
        }
    }

    fn fold_intent(&mut self, intent: &Intent) -> Option<Event> {
        if self.book.holds(&intent.key, &intent.attempt) {
            return None;
        }
        if let Some(reason) = key_age(&intent.key, self.clock, &self.limits) {
            return self.lose(intent, Verdict::Refuse(reason));
        }
        let verdict = self.verdict(intent);
        let done = self.book.is_done(&intent.key);
        let until = self.clock + self.limits.keep();
        self.book.open(intent, until);
        if intent.attempt.owner != self.owner {
            return None;
        }
        let event = match verdict {
            None => self.win(intent),
            Some(verdict) => self.lose(intent, verdict),
        };
        if !done && !self.own.contains_key(&intent.attempt) {
            self.owe_abandon(&intent.attempt, &intent.key);
        }
        event
    }

    fn verdict(&self, intent: &Intent) -> Option<Verdict> {
        if self.clock < self.blind {
            return Some(Verdict::Refuse(Reason::LogDown));
        }
        let (key, digest) = (&intent.key, intent.digest);
        match self.book.judge(key, digest, self.clock, &self.owner) {
            Finding::Free => None,
            Finding::Ran(Outcome::Unknown) => Some(Verdict::Refuse(Reason::KeyUnknown)),
            Finding::Ran(outcome) => Some(Verdict::Replay(outcome.clone())),
            Finding::Barred(reason) => Some(Verdict::Refuse(reason)),
        }
    }

    fn win(&mut self, intent: &Intent) -> Option<Event> {
        let own = self.own.get_mut(&intent.attempt)?;
        own.phase = Phase::Won;
        Some(Event::Won(SendPermit::new(intent.attempt.clone())))
    }

    fn lose(&mut self, intent: &Intent, verdict: Verdict) -> Option<Event> {
        self.own.remove(&intent.attempt)?;
        Some(Event::Lost {
            attempt: intent.attempt.clone(),
            verdict,
        })
    }

    fn fold_abandon(&mut self, abandon: &Abandon) {
        self.book.void(abandon);
        self.owed.remove(&abandon.attempt);
    }

    fn fold_done(&mut self, done: &Done) {
        let until = self.clock + self.limits.keep();
        self.book.close(done, until);
        self.owed.remove(&done.attempt);
    }

    pub(super) fn owe_abandon(&mut self, attempt: &Attempt, key: &Key) {
        let abandon = Abandon {
            attempt: attempt.clone(),
            key: key.clone(),
        };
        let record = Record::Abandon(abandon);
        self.owed.insert(attempt.clone(), record);
    }
}
