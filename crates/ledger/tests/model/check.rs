//! Invariants of docs/AT-MOST-ONCE.md, checked in each state.

use pumicecleat_ledger::{Admission, Attempt, Call, Intent, Record};
use pumicecleat_types::Millis;

use crate::side::Side;
use crate::world::{Effect, Progress, Slip, Told, WAIT, WINDOW, World};

impl World {
    /// First invariant that this state breaks.
    pub fn breach(&self) -> Option<&'static str> {
        let checks = [
            ("I1", self.has_one_effect()),
            ("I2", self.denies_truly()),
            ("I3", self.answers_truly()),
            ("I4", self.runs_one_body()),
            ("I5", self.abandons_truly()),
        ];
        let broken = checks.into_iter().filter(|(_, holds)| !holds);
        broken.map(|(rule, _)| rule).find(|rule| self.minds(rule))
    }

    /// Whether an invariant is to be checked.
    pub fn minds(&self, rule: &str) -> bool {
        self.fixed.only.is_none_or(|only| only == rule)
    }

    /// L1: whether each call that reached a side has ended.
    pub fn is_answered(&self) -> bool {
        let mut calls = self.calls.iter();
        calls.all(|c| !matches!(c.progress, Progress::Open { .. }))
    }

    /// L2: whether no key is held for nothing, once each side has read and appended all it can.
    pub fn is_settled(&self) -> bool {
        let owes = self.sides.iter().any(|s| s.owes());
        !owes && (self.is_held() || self.sides.iter().all(|s| self.admits(s)))
    }

    // Held for good reason: it ran, or a side that has stopped may have run it.
    fn is_held(&self) -> bool {
        let known = |s: &Side, a: &Attempt| s.owner == a.owner || s.ended.contains(a);
        let lives = |a: &Attempt| self.sides.iter().any(|s| known(s, a));
        !self.effects.is_empty() || !self.attempts.keys().all(lives)
    }

    // The body that came first may be asked for again.
    fn admits(&self, side: &Side) -> bool {
        self.calls.iter().any(|c| {
            let now = Millis(self.clock);
            let call = Call {
                key: &self.fixed.key,
                digest: self.digest(c.body),
                now,
                deadline: now + Millis(WAIT),
            };
            let mut ledger = side.ledger.clone();
            matches!(ledger.admit(&call), Admission::Claim(_))
        })
    }

    // I1: one effect within the window.
    fn has_one_effect(&self) -> bool {
        let effects = self.effects.iter().enumerate();
        effects
            .flat_map(|(n, a)| self.effects[..n].iter().map(move |b| (a, b)))
            .all(|(a, b)| a.at.abs_diff(b.at) >= WINDOW)
    }

    // I2: no effect, ever, of a call that was told "not run".
    fn denies_truly(&self) -> bool {
        let denied = |e: &Effect| self.calls[e.call].progress == Progress::Told(Told::NotRun);
        !self.effects.iter().any(denied)
    }

    // I3: an answer is the one of the attempt that ran.
    fn answers_truly(&self) -> bool {
        self.calls
            .iter()
            .enumerate()
            .all(|(call, c)| match c.progress {
                Progress::Told(Told::Ran(by)) => usize::from(by) == call && self.ran(by, c.body),
                Progress::Told(Told::Replay(by)) => self.ran(by, c.body),
                _ => true,
            })
    }

    fn ran(&self, by: u8, body: u8) -> bool {
        let mut effects = self.effects.iter();
        effects.any(|e| e.call == usize::from(by) && e.body == body)
    }

    // I4: what ran has the body that its key's first intent in the window before it had.
    fn runs_one_body(&self) -> bool {
        let named = |e: &Effect| self.slips(Slip::BlankDigest) || self.is_named(e);
        self.effects
            .iter()
            .all(|e| match self.first_body(&e.attempt) {
                Some(first) => first == e.body && named(e),
                None => true,
            })
    }

    // Each intent under the attempt's name has the body that ran.
    fn is_named(&self, effect: &Effect) -> bool {
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
    fn abandons_truly(&self) -> bool {
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
