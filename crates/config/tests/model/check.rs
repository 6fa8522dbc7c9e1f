//! Invariants of docs/CONFIGURATION-MODEL.md, checked in each state.

use std::collections::BTreeMap;

use pumicecleat_config::{ChangeId, Verdict};

use crate::reader::Reader;
use crate::world::{Phase, Proposal, World};

impl World {
    /// First invariant that this state breaks.
    pub fn breach(&self) -> Option<&'static str> {
        let checks = [
            ("C1", self.never_steps_back()),
            ("C2", self.agrees()),
            ("C3", self.accepts_one()),
            ("C4", self.tells_one()),
            ("C5", self.starts_truly()),
            ("C6", self.is_in_force()),
        ];
        let broken = checks.into_iter().filter(|(_, holds)| !holds);
        broken.map(|(rule, _)| rule).find(|rule| self.minds(rule))
    }

    /// Whether an invariant is to be checked.
    pub fn minds(&self, rule: &str) -> bool {
        self.only.is_none_or(|only| only == rule)
    }

    /// L1: whether all readers hold what the log says, and all operators have their verdict.
    /// With nothing accepted and no snapshot kept there is nothing to start from behind a gap.
    pub fn is_settled(&self) -> bool {
        let end = self.log.end();
        let truth = &self.log.truth[self.log.records.len()];
        let empty = truth.revision == 0 && !self.log.keeps_snapshot();
        let mut readers = self.readers.iter();
        let read = readers.all(|r| {
            let at_end = r.fold.next() == end && r.fact == **truth;
            at_end || empty && self.is_behind_gap(r)
        });
        let ended = |p: &Phase| matches!(p, Phase::Idle | Phase::Told(_));
        read && self.operators.iter().all(|o| ended(&o.phase))
    }

    // C1: a reader's revision never steps back.
    fn never_steps_back(&self) -> bool {
        self.readers.iter().all(|r| r.fold.revision() >= r.peak)
    }

    // C2: readers that have read up to one offset tell the same.
    fn agrees(&self) -> bool {
        let mut facts = BTreeMap::new();
        self.readers.iter().all(|r| {
            let first = facts.entry(r.fold.next()).or_insert(&r.fact);
            **first == r.fact
        })
    }

    // C3: of the changes made from one revision at most one is accepted.
    fn accepts_one(&self) -> bool {
        let mut ids = BTreeMap::new();
        self.accepted().all(|(p, _)| {
            let id = &p.change.id;
            *ids.entry(p.change.base).or_insert(id) == id
        })
    }

    // C4: a change has one verdict, and one that was told as refused is in force nowhere, also
    // under another id.
    fn tells_one(&self) -> bool {
        let mut first = BTreeMap::new();
        let same = self
            .told()
            .all(|(id, verdict)| *first.entry(id).or_insert(verdict) == verdict);
        same && !self.accepted().any(|(p, _)| self.is_denied(p))
    }

    fn is_denied(&self, proposal: &Proposal) -> bool {
        let o = &self.operators[proposal.intent.0];
        let refused = matches!(o.phase, Phase::Told(Verdict::Refused(_)));
        let last = o.last.as_ref();
        refused && last.is_some_and(|c| c.intent == proposal.intent)
    }

    // C5: who starts from a snapshot holds what a reader of everything held there; who has none
    // holds nothing.
    fn starts_truly(&self) -> bool {
        self.readers.iter().all(|r| {
            let at = usize::try_from(r.fold.next()).unwrap();
            let started = r.origin > 0 || at == 0;
            !started || self.log.truth.get(at).is_some_and(|t| **t == r.fact)
        })
    }

    // C6: an accepted configuration is in force at each reader that has read past it.
    fn is_in_force(&self) -> bool {
        let mut accepted = self.accepted();
        accepted.all(|(p, revision)| self.readers.iter().all(|r| holds(r, p, revision)))
    }

    /// Verdicts that readers hold and operators were told.
    fn told(&self) -> impl Iterator<Item = (&ChangeId, &Verdict)> {
        let held = self.readers.iter().flat_map(|r| &r.fact.window);
        let held = held.map(|s| (&s.id, &s.verdict));
        let told = self.operators.iter().filter_map(|o| match &o.phase {
            Phase::Told(verdict) => Some((&o.last.as_ref()?.change.id, verdict)),
            _ => None,
        });
        held.chain(told)
    }

    fn accepted(&self) -> impl Iterator<Item = (&Proposal, u64)> {
        self.told().filter_map(|(id, verdict)| {
            let Verdict::Accepted { revision } = verdict else {
                return None;
            };
            let proposal = self.proposals.iter().find(|p| p.change.id == *id)?;
            Some((&**proposal, *revision))
        })
    }
}

fn holds(reader: &Reader, proposal: &Proposal, revision: u64) -> bool {
    let fold = &reader.fold;
    if fold.next() < revision || fold.revision() > revision {
        return true;
    }
    fold.revision() == revision && *fold.config() == proposal.goal
}
