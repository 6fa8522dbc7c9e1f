//! Admission of a call: a recorded outcome, a refusal, or a claim to append.

use pumicecleat_types::{Millis, Reason};

use super::Ledger;
use super::key_table::KeyStatus;
use super::own_attempt::{OwnAttempt, Phase};
use crate::{Attempt, Digest, Intent, Key, Limits, Outcome};

/// A call that must run at most once.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Idempotency key.
    pub key: &'a Key,
    /// Digest of the request.
    pub digest: Digest,
    /// Current time, milliseconds since 1970.
    pub now: Millis,
    /// When the caller stops waiting, by the same clock.
    pub deadline: Millis,
}

/// First decision on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission<'a> {
    /// Append this intent once, keep applying records, and wait for the attempt's
    /// [`Event`](super::Event).
    Claim(Intent),
    /// The call ran before: return its outcome.
    Replay(&'a Outcome),
    /// The call is not run.
    Refuse(Reason),
}

impl Ledger {
    /// Decides on a new call.
    pub fn admit(&mut self, call: &Call<'_>) -> Admission<'_> {
        if let Some(reason) = self.refusal(call) {
            return Admission::Refuse(reason);
        }
        if self.key_status(call) == KeyStatus::Free {
            return Admission::Claim(self.claim(call));
        }
        match self.key_status(call) {
            KeyStatus::Done(outcome @ Outcome::Response(_)) => Admission::Replay(outcome),
            KeyStatus::Blocked(reason) => Admission::Refuse(reason),
            KeyStatus::Done(Outcome::Unknown) | KeyStatus::Free => {
                Admission::Refuse(Reason::KeyUnknown)
            }
        }
    }

    fn refusal(&self, call: &Call<'_>) -> Option<Reason> {
        if !self.caught_up() || call.now < self.blocked_until {
            return Some(Reason::LogDown);
        }
        if let Some(reason) = check_key_time(call.key, call.now, &self.limits) {
            return Some(reason);
        }
        (call.deadline <= call.now).then_some(Reason::Deadline)
    }

    fn key_status(&self, call: &Call<'_>) -> KeyStatus<'_> {
        let owner = &self.owner;
        self.keys.status(call.key, call.digest, call.now, owner)
    }

    fn claim(&mut self, call: &Call<'_>) -> Intent {
        let attempt = Attempt {
            owner: self.owner.clone(),
            seq: self.next_seq,
        };
        self.next_seq += 1;
        let own = OwnAttempt {
            key: call.key.clone(),
            digest: call.digest,
            deadline: call.deadline.min(call.now + self.limits.max_send_delay()),
            phase: Phase::Waiting,
        };
        let intent = Intent {
            attempt: attempt.clone(),
            key: call.key.clone(),
            digest: call.digest,
            deadline: own.deadline,
        };
        self.own_attempts.insert(attempt, own);
        intent
    }
}

/// Why the time in `key` is not acceptable at `at`, if it isn't.
pub(super) fn check_key_time(key: &Key, at: Millis, limits: &Limits) -> Option<Reason> {
    let minted = key.minted()?;
    if minted + limits.window() <= at {
        return Some(Reason::KeyExpired);
    }
    (minted > at + limits.max_ahead()).then_some(Reason::KeyInvalid)
}
