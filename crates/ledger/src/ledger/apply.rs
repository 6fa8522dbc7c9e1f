//! Applies the stream's records: what each one changes, and which own attempts it decides.

use pumicecleat_types::{LogRecord, Millis, Reason};

use super::admit::check_key_time;
use super::key_table::KeyStatus;
use super::own_attempt::Phase;
use super::{Ledger, SendPermit};
use crate::{Abandon, Attempt, Done, Intent, Key, Outcome, Record};

/// Something that the side has to act on.
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
    /// A record could not be decoded. It may hold an intent, so no call can win until the record
    /// has left the window.
    Unreadable {
        /// Offset.
        offset: u64,
        /// Length in bytes.
        bytes: usize,
    },
}

/// Result of an attempt that was not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Another attempt ran: return its outcome.
    Replay(Outcome),
    /// The call was not run.
    Refuse(Reason),
}

impl Ledger {
    /// Applies the next record of the stream. A record that was applied before changes nothing.
    pub fn apply(&mut self, record: &LogRecord) -> Vec<Event> {
        if record.offset < self.next_offset {
            return Vec::new();
        }
        let mut events = self.handle_trim(record.offset);
        self.next_offset = record.offset + 1;
        self.clock = self.clock.max(Millis(record.at));
        self.keys.expire(self.clock);
        match Record::decode_batch(&record.data) {
            Ok(batch) => events.extend(batch.iter().filter_map(|r| self.apply_record(r))),
            Err(_) => events.push(self.block_window(record)),
        }
        events
    }

    /// Abandons own attempts that were not sent before their deadline.
    pub fn expire_attempts(&mut self, now: Millis) -> Vec<Event> {
        self.abandon_where(Reason::Deadline, |deadline, phase| {
            phase != Phase::Sent && deadline <= now
        })
    }

    /// Handles a trim of the stream, reported to a reader that has fallen behind: no record before
    /// `first` is left.
    ///
    /// Own attempts whose intent has not been read back are lost, because the window before the
    /// intent may hold records that were trimmed unread.
    pub fn handle_trim(&mut self, first: u64) -> Vec<Event> {
        if first <= self.next_offset {
            return Vec::new();
        }
        self.next_offset = first;
        self.abandon_where(Reason::LogDown, |_, phase| phase == Phase::Waiting)
    }

    fn block_window(&mut self, record: &LogRecord) -> Event {
        self.blocked_until = self.clock + self.limits.retention();
        Event::Unreadable {
            offset: record.offset,
            bytes: record.data.len(),
        }
    }

    fn abandon_where(
        &mut self,
        reason: Reason,
        test: impl Fn(Millis, Phase) -> bool,
    ) -> Vec<Event> {
        let own = self.own_attempts.iter();
        let matching = own.filter(|(_, own)| test(own.deadline, own.phase));
        let attempts: Vec<Attempt> = matching.map(|(attempt, _)| attempt.clone()).collect();
        let lost = attempts.into_iter().map(|attempt| {
            self.abandon_own(&attempt);
            Event::Lost {
                attempt,
                verdict: Verdict::Refuse(reason),
            }
        });
        lost.collect()
    }

    fn apply_record(&mut self, record: &Record) -> Option<Event> {
        match record {
            Record::Intent(intent) => self.apply_intent(intent),
            Record::Abandon(abandon) => {
                self.apply_abandon(abandon);
                None
            }
            Record::Done(done) => {
                self.apply_done(done);
                None
            }
        }
    }

    fn apply_intent(&mut self, intent: &Intent) -> Option<Event> {
        if self.keys.contains(&intent.key, &intent.attempt) {
            return None;
        }
        if let Some(reason) = check_key_time(&intent.key, self.clock, &self.limits) {
            return self.lose(intent, Verdict::Refuse(reason));
        }
        let verdict = self.verdict(intent);
        let has_outcome = self.keys.has_outcome(&intent.key);
        let expires_at = self.clock + self.limits.retention();
        self.keys.add_intent(intent, expires_at);
        if intent.attempt.owner != self.owner {
            return None;
        }
        let event = match verdict {
            None => self.win(intent),
            Some(verdict) => self.lose(intent, verdict),
        };
        if !has_outcome && !self.own_attempts.contains_key(&intent.attempt) {
            self.queue_abandon(&intent.attempt, &intent.key);
        }
        event
    }

    fn verdict(&self, intent: &Intent) -> Option<Verdict> {
        if self.clock < self.blocked_until {
            return Some(Verdict::Refuse(Reason::LogDown));
        }
        let (key, digest) = (&intent.key, intent.digest);
        match self.keys.status(key, digest, self.clock, &self.owner) {
            KeyStatus::Free => None,
            KeyStatus::Done(Outcome::Unknown) => Some(Verdict::Refuse(Reason::KeyUnknown)),
            KeyStatus::Done(outcome) => Some(Verdict::Replay(outcome.clone())),
            KeyStatus::Blocked(reason) => Some(Verdict::Refuse(reason)),
        }
    }

    fn win(&mut self, intent: &Intent) -> Option<Event> {
        let own = self.own_attempts.get_mut(&intent.attempt)?;
        own.phase = Phase::Won;
        Some(Event::Won(SendPermit::new(intent.attempt.clone())))
    }

    fn lose(&mut self, intent: &Intent, verdict: Verdict) -> Option<Event> {
        self.own_attempts.remove(&intent.attempt)?;
        Some(Event::Lost {
            attempt: intent.attempt.clone(),
            verdict,
        })
    }

    fn apply_abandon(&mut self, abandon: &Abandon) {
        self.keys.mark_abandoned(abandon);
        self.pending_records.remove(&abandon.attempt);
    }

    fn apply_done(&mut self, done: &Done) {
        let expires_at = self.clock + self.limits.retention();
        self.keys.record_outcome(done, expires_at);
        self.pending_records.remove(&done.attempt);
    }

    pub(super) fn queue_abandon(&mut self, attempt: &Attempt, key: &Key) {
        let abandon = Abandon {
            attempt: attempt.clone(),
            key: key.clone(),
        };
        let record = Record::Abandon(abandon);
        self.pending_records.insert(attempt.clone(), record);
    }
}
