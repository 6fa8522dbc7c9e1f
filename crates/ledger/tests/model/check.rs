//! Checks the invariants of docs/AT-MOST-ONCE.md in each state.

use pumicecleat_ledger::{Admission, Attempt, Call, Intent, Record};
use pumicecleat_types::Millis;

use crate::side::Side;
use crate::state::{CALL_TIMEOUT, CallResult, Effect, Mutation, Progress, State, WINDOW};

impl State {
    /// First invariant that this state violates.
    pub fn violation(&self) -> Option<&'static str> {
        let checks = [
            ("I1", self.has_one_effect()),
            ("I2", self.denied_calls_have_no_effect()),
            ("I3", self.responses_match_effects()),
            ("I4", self.effects_have_first_body()),
            ("I5", self.abandoned_attempts_have_no_effect()),
        ];
        let broken = checks.into_iter().filter(|(_, holds)| !holds);
        broken
            .map(|(invariant, _)| invariant)
            .find(|invariant| self.is_checked(invariant))
    }

    /// Whether an invariant is checked in this search.
    pub fn is_checked(&self, invariant: &str) -> bool {
        self.settings
            .only_invariant
            .is_none_or(|only| only == invariant)
    }

    /// L1: whether each call that reached a side has ended.
    pub fn all_calls_ended(&self) -> bool {
        let mut calls = self.calls.iter();
        calls.all(|c| !matches!(c.progress, Progress::Open { .. }))
    }

    /// L2: whether no record is pending and no key is blocked without reason, once each side has
    /// read and appended all it can.
    pub fn is_every_key_usable(&self) -> bool {
        let has_pending_records = self.sides.iter().any(|s| s.has_pending_records());
        !has_pending_records && (self.is_key_taken() || self.sides.iter().all(|s| self.admits(s)))
    }

    // Rightly blocked: the call ran, or a side that has stopped may have run it.
    fn is_key_taken(&self) -> bool {
        let known = |s: &Side, a: &Attempt| s.owner == a.owner || s.ended_attempts.contains(a);
        let lives = |a: &Attempt| self.sides.iter().any(|s| known(s, a));
        !self.effects.is_empty() || !self.attempts.keys().all(lives)
    }

    // Whether a side would accept a new call with one of the bodies.
    fn admits(&self, side: &Side) -> bool {
        self.calls.iter().any(|c| {
            let now = Millis(self.clock);
            let call = Call {
                key: &self.settings.key,
                digest: self.digest(c.body),
                now,
                deadline: now + Millis(CALL_TIMEOUT),
            };
            let mut ledger = side.ledger.clone();
            matches!(ledger.admit(&call), Admission::Claim(_))
        })
    }

    // I1: at most one effect within the window.
    fn has_one_effect(&self) -> bool {
        let effects = self.effects.iter().enumerate();
        effects
            .flat_map(|(n, a)| self.effects[..n].iter().map(move |b| (a, b)))
            .all(|(a, b)| a.at.abs_diff(b.at) >= WINDOW)
    }

    // I2: a call that was reported as "not run" never has an effect.
    fn denied_calls_have_no_effect(&self) -> bool {
        let denied =
            |e: &Effect| self.calls[e.call].progress == Progress::Ended(CallResult::NotRun);
        !self.effects.iter().any(denied)
    }

    // I3: a response is the one of the attempt that ran.
    fn responses_match_effects(&self) -> bool {
        self.calls
            .iter()
            .enumerate()
            .all(|(call, c)| match c.progress {
                Progress::Ended(CallResult::Ran(by)) => {
                    usize::from(by) == call && self.has_effect(by, c.body)
                }
                Progress::Ended(CallResult::Replay(by)) => self.has_effect(by, c.body),
                _ => true,
            })
    }

    fn has_effect(&self, by: u8, body: u8) -> bool {
        let mut effects = self.effects.iter();
        effects.any(|e| e.call == usize::from(by) && e.body == body)
    }

    // I4: a call that ran has the body of the key's first intent within the window before it.
    fn effects_have_first_body(&self) -> bool {
        let named = |e: &Effect| {
            self.has_mutation(Mutation::DigestWithoutBody) || self.intents_have_body(e)
        };
        self.effects
            .iter()
            .all(|e| match self.first_body(&e.attempt) {
                Some(first) => first == e.body && named(e),
                None => true,
            })
    }

    // Each intent with the attempt's identity has the body that ran.
    fn intents_have_body(&self, effect: &Effect) -> bool {
        let mut own = self.intents().filter(|(_, i)| i.attempt == effect.attempt);
        own.all(|(_, i)| i.digest == self.digest(effect.body))
    }

    fn first_body(&self, attempt: &Attempt) -> Option<u8> {
        let at = self.intents().find(|(_, i)| i.attempt == *attempt)?.0;
        let mut intents = self.intents();
        let first = intents.find(|(t, _)| t + WINDOW > at)?.1;
        let call = self.attempts[&first.attempt];
        Some(self.calls[call].body)
    }

    // I5: an abandoned attempt has no effect.
    fn abandoned_attempts_have_no_effect(&self) -> bool {
        let records = self.log.entries.iter().flat_map(|e| e.batch.iter());
        let abandoned = records.filter(|r| matches!(r, Record::Abandon(_)));
        let mut attempts = abandoned.map(Record::attempt);
        attempts.all(|a| self.effects.iter().all(|e| e.attempt != *a))
    }

    fn intents(&self) -> impl Iterator<Item = (u64, &Intent)> {
        let entries = self.log.entries.iter();
        entries.flat_map(|e| {
            e.batch.iter().filter_map(|r| match r {
                Record::Intent(intent) => Some((e.at, intent)),
                Record::Abandon(_) | Record::Done(_) => None,
            })
        })
    }
}
