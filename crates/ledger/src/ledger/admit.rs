//! Admission: the answer that is known already, or a claim to append.

use pumicecleat_types::{Millis, Reason};

use super::Ledger;
use super::book::Finding;
use super::own::{Own, Phase};
use crate::{Attempt, Digest, Intent, Key, Limits, Outcome};

/// A call that may not be repeated.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Key.
    pub key: &'a Key,
    /// What is asked for.
    pub digest: Digest,
    /// Now, milliseconds since 1970.
    pub now: Millis,
    /// When the caller stops waiting, by the same clock.
    pub deadline: Millis,
}

/// First decision on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission<'a> {
    /// Append this intent once, read on, and wait for the attempt's [`Event`](super::Event).
    Claim(Intent),
    /// It ran before: pass on what came of it.
    Replay(&'a Outcome),
    /// Not run.
    Refuse(Reason),
}

impl Ledger {
    /// Decides on a new call.
    pub fn admit(&mut self, call: &Call<'_>) -> Admission<'_> {
        if let Some(reason) = self.refusal(call) {
            return Admission::Refuse(reason);
        }
        if self.finding(call) == Finding::Free {
            return Admission::Claim(self.claim(call));
        }
        match self.finding(call) {
            Finding::Ran(outcome @ Outcome::Response(_)) => Admission::Replay(outcome),
            Finding::Barred(reason) => Admission::Refuse(reason),
            Finding::Ran(Outcome::Unknown) | Finding::Free => Admission::Refuse(Reason::KeyUnknown),
        }
    }

    fn refusal(&self, call: &Call<'_>) -> Option<Reason> {
        if !self.caught_up() || call.now < self.blind {
            return Some(Reason::LogDown);
        }
        if let Some(reason) = key_age(call.key, call.now, &self.limits) {
            return Some(reason);
        }
        (call.deadline <= call.now).then_some(Reason::Deadline)
    }

    fn finding(&self, call: &Call<'_>) -> Finding<'_> {
        let owner = &self.owner;
        self.book.judge(call.key, call.digest, call.now, owner)
    }

    fn claim(&mut self, call: &Call<'_>) -> Intent {
        let attempt = Attempt {
            owner: self.owner.clone(),
            seq: self.seq,
        };
        self.seq += 1;
        let own = Own {
            key: call.key.clone(),
            digest: call.digest,
            deadline: call.deadline.min(call.now + self.limits.patience()),
            phase: Phase::Waiting,
        };
        let intent = Intent {
            attempt: attempt.clone(),
            key: call.key.clone(),
            digest: call.digest,
            deadline: own.deadline,
        };
        self.own.insert(attempt, own);
        intent
    }
}

/// Why the time in `key` bars it at `at`, if it does.
pub(super) fn key_age(key: &Key, at: Millis, limits: &Limits) -> Option<Reason> {
    let minted = key.minted()?;
    if minted + limits.window() <= at {
        return Some(Reason::KeyExpired);
    }
    (minted > at + limits.max_ahead()).then_some(Reason::KeyInvalid)
}
