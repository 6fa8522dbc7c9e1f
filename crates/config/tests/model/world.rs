//! State of the model and its parts.

use std::rc::Rc;

use pumicecleat_config::model::{Adapter, BaseModel, Config, Version};
use pumicecleat_config::{Change, ChangeId, Fold, Record, Snapshot, Verdict};
use pumicecleat_types::LogRecord;

use crate::reader::{Reader, visible_state};

/// Deliberate defect of a reader or an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Reader that applies any snapshot of the log, even an older one.
    TakeSnapshots,
    /// Reader that ignores a gap.
    SkipGap,
    /// Reader that ignores a change's base.
    AnyBase,
    /// Reader that decides again on a repeated id.
    ForgetVerdicts,
    /// Operator that retries a lost append with a new id.
    Renew,
    /// New reader that assumes an empty configuration at a gap.
    GuessEmpty,
    /// Reader that continues at the log's end.
    WakeAtEnd,
    /// Reader at a gap that does not ask a peer for a snapshot.
    AskNone,
    /// Operator that does not retry after a lost reply.
    GiveUp,
}

/// Remaining number of events of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Changes of each operator.
    pub changes: [u8; 2],
    /// Lost replies to appends.
    pub losses: u8,
    pub snapshots: u8,
    pub garbage: u8,
    pub outages: u8,
    pub trims: u8,
}

/// A change proposed by an operator.
#[derive(Debug)]
pub struct Proposal {
    /// Operator and number of its change; unchanged if retried under a new id.
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

    /// Prepares the change of an operator based on the state of a reader.
    pub fn make(intent: (usize, u8), fold: &Fold) -> Self {
        let name = format!("{}-{}", intent.0, intent.1);
        let goal = goal(fold.config(), &name);
        let id = ChangeId::try_from(name).unwrap();
        let change = Change::new(id, fold.revision(), fold.config(), &goal, "operator");
        Self::new(intent, change, goal)
    }

    /// Returns the same change under another id.
    pub fn with_new_id(&self) -> Self {
        let mut change = self.change.clone();
        change.id = ChangeId::try_from(format!("{}-again", change.id)).unwrap();
        Self::new(self.intent, change, self.goal.clone())
    }
}

// All changes overwrite the same item, so that a stale delta still leads to the stated digest.
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

/// State of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    Idle,
    /// Has prepared a change to append.
    Prepared,
    /// Does not know whether its append took effect.
    OutcomeUnknown,
    /// Waits for the verdict.
    Appended,
    Answered(Verdict),
}

#[derive(Clone, Debug)]
pub struct Operator {
    pub phase: Phase,
    /// Number of changes prepared.
    pub made: u8,
    /// The last of them.
    pub last: Option<Rc<Proposal>>,
}

/// Log; trimmed records are retained for the checks.
#[derive(Clone, Debug)]
pub struct Log {
    pub records: Vec<Rc<LogRecord>>,
    pub first: u64,
    pub up: bool,
    reference: Fold,
    /// State of a reader of the whole log, by the number of records read.
    pub expected: Vec<Rc<Snapshot>>,
}

impl Log {
    pub fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Whether it contains a snapshot from which a reader can continue.
    pub fn has_usable_snapshot(&self) -> bool {
        let kept = &self.records[usize::try_from(self.first).unwrap()..];
        let mut records = kept.iter().map(|r| Record::from_bytes(&r.data));
        records.any(|r| matches!(r, Ok(Record::Snapshot(s)) if s.next >= self.first))
    }

    pub fn append(&mut self, data: Vec<u8>) {
        let offset = self.end();
        let at = 0;
        let record = LogRecord { offset, at, data };
        self.reference.apply(&record).unwrap();
        self.expected.push(Rc::new(visible_state(&self.reference)));
        self.records.push(Rc::new(record));
    }
}

#[derive(Clone, Debug)]
pub struct World {
    pub defect: Defect,
    /// Invariant to check, or `None` for all.
    pub only: Option<&'static str>,
    pub log: Rc<Log>,
    pub readers: Vec<Rc<Reader>>,
    pub operators: [Operator; 2],
    /// All changes proposed.
    pub proposals: Vec<Rc<Proposal>>,
    /// Appends without a reply that may still take effect.
    pub late_appends: Vec<Rc<Proposal>>,
    pub budget: Budget,
}

impl World {
    pub fn new(readers: usize, budget: Budget) -> Self {
        let idle = Operator {
            phase: Phase::Idle,
            made: 0,
            last: None,
        };
        let reference = Fold::new();
        let log = Log {
            records: Vec::new(),
            first: 0,
            up: true,
            expected: vec![Rc::new(visible_state(&reference))],
            reference,
        };
        Self {
            defect: Defect::None,
            only: None,
            log: Rc::new(log),
            readers: (0..readers).map(|_| Rc::new(Reader::new())).collect(),
            operators: [idle.clone(), idle],
            proposals: Vec::new(),
            late_appends: Vec::new(),
            budget,
        }
    }

    /// Whether a reader is missing records that were trimmed.
    pub fn is_behind_gap(&self, reader: &Reader) -> bool {
        reader.fold.next() < self.log.first
    }

    /// Parts that identify a state and recur in others. Readers are interchangeable, so they are
    /// sorted.
    pub fn parts(&self) -> Vec<&[u8]> {
        let mut parts: Vec<_> = self.readers.iter().map(|r| r.key.as_slice()).collect();
        parts.sort_unstable();
        for o in &self.operators {
            parts.push(o.last.as_ref().map_or(&[], |p| &p.data));
        }
        parts.extend(self.late_appends.iter().map(|p| p.data.as_slice()));
        parts.extend(self.log.records.iter().map(|r| r.data.as_slice()));
        parts
    }

    /// Remaining part that identifies a state.
    pub fn rest(&self) -> Vec<u8> {
        let [a, b] = &self.operators;
        let phases = (&a.phase, a.made, &b.phase, b.made);
        let counts = (self.late_appends.len(), self.log.first, self.log.up);
        format!("{phases:?} {counts:?} {:?}", self.budget).into_bytes()
    }
}
