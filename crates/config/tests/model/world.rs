//! The small world and its parts.

use std::rc::Rc;

use pumicecleat_config::model::{Adapter, BaseModel, Config, Version};
use pumicecleat_config::{Change, ChangeId, Fold, Record, Snapshot, Verdict};
use pumicecleat_types::LogRecord;

use crate::reader::{Reader, fact};

/// A mistake of a reader or an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slip {
    None,
    /// Reader that takes any snapshot of the log, also older ones.
    TakeSnapshots,
    /// Reader that passes over a gap.
    SkipGap,
    /// Reader that ignores a change's base.
    AnyBase,
    /// Reader that judges a repeated id again.
    ForgetVerdicts,
    /// Operator that makes a lost append anew with another id.
    Renew,
    /// Starter that guesses an empty configuration behind a gap.
    GuessEmpty,
    /// Reader that goes on at the log's end.
    WakeAtEnd,
    /// Reader behind a gap that asks no peer.
    AskNone,
    /// Operator that does not append again after a lost reply.
    GiveUp,
}

/// What may still happen.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Changes of each operator.
    pub changes: [u8; 2],
    /// Append replies lost.
    pub losses: u8,
    pub snapshots: u8,
    pub garbage: u8,
    pub outages: u8,
    pub trims: u8,
}

/// A change as its operator made it.
#[derive(Debug)]
pub struct Proposal {
    /// Operator and count of what it wants; the same under a new id.
    pub intent: (usize, u8),
    pub change: Change,
    pub goal: Config,
    pub data: Vec<u8>,
}

impl Proposal {
    fn new(intent: (usize, u8), change: Change, goal: Config) -> Self {
        let data = Record::Change(Box::new(change.clone())).to_bytes();
        Self {
            intent,
            change,
            goal,
            data,
        }
    }

    /// Change that an operator makes from what a reader shows.
    pub fn make(intent: (usize, u8), fold: &Fold) -> Self {
        let name = format!("{}-{}", intent.0, intent.1);
        let goal = goal(fold.config(), &name);
        let id = ChangeId::try_from(name).unwrap();
        let change = Change::new(id, fold.revision(), fold.config(), &goal, "operator");
        Self::new(intent, change, goal)
    }

    /// The same under another id.
    pub fn renewed(&self) -> Self {
        let mut change = self.change.clone();
        change.id = ChangeId::try_from(format!("{}-again", change.id)).unwrap();
        Self::new(self.intent, change, self.goal.clone())
    }
}

// Goals overwrite one item, so that a stale delta still gives the digest it states.
fn goal(from: &Config, name: &str) -> Config {
    let mut goal = from.clone();
    goal.bases.insert("m".into(), BaseModel { context: 8 });
    let adapter = goal.adapters.entry("x".into()).or_insert(Adapter {
        base: "m".into(),
        default: None,
        versions: [].into(),
    });
    let path = name.to_owned();
    adapter.versions.insert("v".into(), Version { path });
    goal
}

/// Where an operator stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    Idle,
    /// Has a change to append.
    Made,
    /// Does not know whether its append took effect.
    Unsure,
    /// Waits for the verdict.
    Appended,
    Told(Verdict),
}

#[derive(Clone, Debug)]
pub struct Operator {
    pub phase: Phase,
    /// Changes made.
    pub made: u8,
    /// The last of them.
    pub last: Option<Rc<Proposal>>,
}

/// Log; trimmed records stay, for the checks.
#[derive(Clone, Debug)]
pub struct Log {
    pub records: Vec<Rc<LogRecord>>,
    pub first: u64,
    pub up: bool,
    witness: Fold,
    /// What a reader of everything tells, by the number of records read.
    pub truth: Vec<Rc<Snapshot>>,
}

impl Log {
    pub fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Whether it holds a snapshot from which a reader can read on.
    pub fn keeps_snapshot(&self) -> bool {
        let kept = &self.records[usize::try_from(self.first).unwrap()..];
        let mut records = kept.iter().map(|r| Record::from_bytes(&r.data));
        records.any(|r| matches!(r, Ok(Record::Snapshot(s)) if s.next >= self.first))
    }

    pub fn append(&mut self, data: Vec<u8>) {
        let offset = self.end();
        let at = 0;
        let record = LogRecord { offset, at, data };
        self.witness.apply(&record).unwrap();
        self.truth.push(Rc::new(fact(&self.witness)));
        self.records.push(Rc::new(record));
    }
}

#[derive(Clone, Debug)]
pub struct World {
    pub slip: Slip,
    /// Invariant to check, or `None` for all.
    pub only: Option<&'static str>,
    pub log: Rc<Log>,
    pub readers: Vec<Rc<Reader>>,
    pub operators: [Operator; 2],
    /// All changes made.
    pub proposals: Vec<Rc<Proposal>>,
    /// Appends given up on that may still take effect.
    pub strays: Vec<Rc<Proposal>>,
    pub budget: Budget,
}

impl World {
    pub fn new(readers: usize, budget: Budget) -> Self {
        let idle = Operator {
            phase: Phase::Idle,
            made: 0,
            last: None,
        };
        let witness = Fold::new();
        let log = Log {
            records: Vec::new(),
            first: 0,
            up: true,
            truth: vec![Rc::new(fact(&witness))],
            witness,
        };
        Self {
            slip: Slip::None,
            only: None,
            log: Rc::new(log),
            readers: (0..readers).map(|_| Rc::new(Reader::new())).collect(),
            operators: [idle.clone(), idle],
            proposals: Vec::new(),
            strays: Vec::new(),
            budget,
        }
    }

    /// Whether a reader lacks records that the log no longer has.
    pub fn is_behind_gap(&self, reader: &Reader) -> bool {
        reader.fold.next() < self.log.first
    }

    /// What a search must tell apart, in parts that come again. Readers alike may swap places.
    pub fn parts(&self) -> Vec<&[u8]> {
        let mut parts: Vec<_> = self.readers.iter().map(|r| r.key.as_slice()).collect();
        parts.sort_unstable();
        for o in &self.operators {
            parts.push(o.last.as_ref().map_or(&[], |p| &p.data));
        }
        parts.extend(self.strays.iter().map(|p| p.data.as_slice()));
        parts.extend(self.log.records.iter().map(|r| r.data.as_slice()));
        parts
    }

    /// What else it must tell apart.
    pub fn rest(&self) -> Vec<u8> {
        let [a, b] = &self.operators;
        let phases = (&a.phase, a.made, &b.phase, b.made);
        let counts = (self.strays.len(), self.log.first, self.log.up);
        format!("{phases:?} {counts:?} {:?}", self.budget).into_bytes()
    }
}
