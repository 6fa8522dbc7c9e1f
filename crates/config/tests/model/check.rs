//! Invariants of docs/CONFIGURATION-MODEL.md, checked in each state.

use std::collections::BTreeMap;

use pumicecleat_config::{ChangeId, Verdict};

use crate::reader::Reader;
use crate::world::{Phase, Proposal, World};

impl World {
    /// Returns the first invariant that this state violates.
    pub fn violation(&self) -> Option<&'static str> {
        let checks = [
            ("C1", self.revisions_never_decrease()),
            ("C2", self.readers_agree()),
            ("C3", self.accepts_at_most_one()),
            ("C4", self.has_one_verdict()),
            ("C5", self.starts_correctly()),
            ("C6", self.accepted_is_in_force()),
        ];
        let broken = checks.into_iter().filter(|(_, holds)| !holds);
        broken
            .map(|(rule, _)| rule)
            .find(|rule| self.checks_rule(rule))
    }

    /// Whether an invariant is to be checked.
    pub fn checks_rule(&self, rule: &str) -> bool {
        self.only.is_none_or(|only| only == rule)
    }

    /// L1: whether all readers have the state of the whole log, and all operators their verdict.
    /// A reader behind a gap can't start if nothing was accepted and the log has no snapshot.
    pub fn is_converged(&self) -> bool {
        let end = self.log.end();
        let expected = &self.log.expected[self.log.records.len()];
        let empty = expected.revision == 0 && !self.log.has_usable_snapshot();
        let mut readers = self.readers.iter();
        let read = readers.all(|r| {
            let at_end = r.fold.next() == end && r.visible_state == **expected;
            at_end || empty && self.is_behind_gap(r)
        });
        let ended = |p: &Phase| matches!(p, Phase::Idle | Phase::Answered(_));
        read && self.operators.iter().all(|o| ended(&o.phase))
    }

    // C1: a reader's revision never decreases.
    fn revisions_never_decrease(&self) -> bool {
        self.readers
            .iter()
            .all(|r| r.fold.revision() >= r.max_revision)
    }

    // C2: readers at the same offset have the same state.
    fn readers_agree(&self) -> bool {
        let mut states = BTreeMap::new();
        self.readers.iter().all(|r| {
            let first = states.entry(r.fold.next()).or_insert(&r.visible_state);
            **first == r.visible_state
        })
    }

    // C3: at most one of the changes based on the same revision is accepted.
    fn accepts_at_most_one(&self) -> bool {
        let mut ids = BTreeMap::new();
        self.accepted().all(|(p, _)| {
            let id = &p.change.id;
            *ids.entry(p.change.base).or_insert(id) == id
        })
    }

    // C4: a change has one verdict, and one reported as refused is not in force anywhere, nor
    // is the same change under another id.
    fn has_one_verdict(&self) -> bool {
        let mut first = BTreeMap::new();
        let same = self
            .verdicts()
            .all(|(id, verdict)| *first.entry(id).or_insert(verdict) == verdict);
        same && !self.accepted().any(|(p, _)| self.was_refused(p))
    }

    fn was_refused(&self, proposal: &Proposal) -> bool {
        let o = &self.operators[proposal.intent.0];
        let refused = matches!(o.phase, Phase::Answered(Verdict::Refused(_)));
        let last = o.last.as_ref();
        refused && last.is_some_and(|c| c.intent == proposal.intent)
    }

    // C5: a reader that starts from a snapshot has the state that a reader of the whole log has at
    // that offset; a reader without a snapshot has the empty state.
    fn starts_correctly(&self) -> bool {
        self.readers.iter().all(|r| {
            let at = usize::try_from(r.fold.next()).unwrap();
            let started = r.started_at > 0 || at == 0;
            !started
                || self
                    .log
                    .expected
                    .get(at)
                    .is_some_and(|t| **t == r.visible_state)
        })
    }

    // C6: an accepted configuration is in force at each reader that has read past it, until
    // the next one.
    fn accepted_is_in_force(&self) -> bool {
        let mut accepted = self.accepted();
        accepted.all(|(p, revision)| self.readers.iter().all(|r| is_in_force_at(r, p, revision)))
    }

    /// Verdicts remembered by readers and reported to operators.
    fn verdicts(&self) -> impl Iterator<Item = (&ChangeId, &Verdict)> {
        let held = self.readers.iter().flat_map(|r| &r.visible_state.window);
        let held = held.map(|s| (&s.id, &s.verdict));
        let answered = self.operators.iter().filter_map(|o| match &o.phase {
            Phase::Answered(verdict) => Some((&o.last.as_ref()?.change.id, verdict)),
            _ => None,
        });
        held.chain(answered)
    }

    fn accepted(&self) -> impl Iterator<Item = (&Proposal, u64)> {
        self.verdicts().filter_map(|(id, verdict)| {
            let Verdict::Accepted { revision } = verdict else {
                return None;
            };
            let proposal = self.proposals.iter().find(|p| p.change.id == *id)?;
            Some((&**proposal, *revision))
        })
    }
}

fn is_in_force_at(reader: &Reader, proposal: &Proposal, revision: u64) -> bool {
    let fold = &reader.fold;
    if fold.next() < revision || fold.revision() > revision {
        return true;
    }
    fold.revision() == revision && *fold.config() == proposal.goal
}
