//! Generator of logs with racing operators, lost replies and faulty writers.

use proptest::prelude::*;
use proptest::sample::Index;
use pumicecleat_config::model::{
    Adapter, BaseModel, Caller, Config, Grant, IdempotencyKeyRule, Pool, PoolKind, Route, Service,
    Version,
};
use pumicecleat_config::{Change, ChangeId, Record, Snapshot, digest, hash_key};
use pumicecleat_types::LogRecord;

use crate::naive::{Naive, Rule};

/// Edit of a configuration; the numbers select names and targets.
#[derive(Clone, Copy, Debug)]
pub struct Edit {
    kind: u8,
    a: u8,
    b: u8,
}

/// Deliberate fault in a change.
#[derive(Clone, Copy, Debug)]
pub enum Flaw {
    /// No fault.
    None,
    /// Digest of another configuration.
    Digest,
    /// Duplicate put and extra removal.
    Order,
    /// Base revision in the future.
    Future,
}

/// Deliberate fault in a snapshot that every reader can detect.
#[derive(Clone, Copy, Debug)]
pub enum Damage {
    /// No fault.
    None,
    /// Body that does not match its digest.
    Body,
    /// Offset in the future.
    Next,
    /// Window with duplicates out of order, and a revision in the future.
    Window,
}

/// Operation that appends a record.
#[derive(Clone, Debug)]
pub enum Op {
    /// An operator appends a change based on the state at the current or an earlier offset.
    Change {
        /// Number of records that its state is behind.
        lag: u8,
        /// Edits.
        edits: Vec<Edit>,
        /// Flaw.
        flaw: Flaw,
    },
    /// Appends a record again.
    Repeat(Index),
    /// Appends bytes that are not a record.
    Garbage(Vec<u8>),
    /// Appends a snapshot of the state at the current or an earlier offset.
    Snapshot {
        /// Number of records that its state is behind.
        lag: u8,
        /// Damage.
        damage: Damage,
    },
}

fn edit() -> impl Strategy<Value = Edit> {
    (0..15_u8, 0..4_u8, 0..4_u8).prop_map(|(kind, a, b)| Edit { kind, a, b })
}

fn flaw() -> impl Strategy<Value = Flaw> {
    prop_oneof![
        12 => Just(Flaw::None),
        1 => Just(Flaw::Digest),
        1 => Just(Flaw::Order),
        1 => Just(Flaw::Future),
    ]
}

fn damage() -> impl Strategy<Value = Damage> {
    prop_oneof![
        6 => Just(Damage::None),
        1 => Just(Damage::Body),
        1 => Just(Damage::Next),
        1 => Just(Damage::Window),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let lag = prop_oneof![4 => Just(0_u8), 1 => 1..4_u8];
    let edits = prop::collection::vec(edit(), 1..4);
    let change = (lag, edits, flaw());
    prop_oneof![
        12 => change.prop_map(|(lag, edits, flaw)| Op::Change { lag, edits, flaw }),
        2 => any::<Index>().prop_map(Op::Repeat),
        1 => prop::collection::vec(any::<u8>(), 0..20).prop_map(Op::Garbage),
        4 => (0..4_u8, damage()).prop_map(|(lag, damage)| Op::Snapshot { lag, damage }),
    ]
}

/// Generates the operations of a log.
pub fn ops() -> impl Strategy<Value = Vec<Op>> {
    prop::collection::vec(op(), 1..40)
}

/// A log, and the naive state before and after each of its records.
pub struct World {
    pub log: Vec<LogRecord>,
    pub states: Vec<Naive>,
}

/// Builds the log and states of a list of operations.
pub fn build(ops: &[Op]) -> World {
    let mut log = Vec::new();
    let mut states = vec![Naive::default()];
    for op in ops {
        let offset = log.len() as u64;
        let record = LogRecord {
            offset,
            at: offset * 10,
            data: bytes(op, offset, &log, &states),
        };
        let mut state = state_before(&states, 0).clone();
        state.step(&record, Rule::Correct);
        states.push(state);
        log.push(record);
    }
    World { log, states }
}

fn bytes(op: &Op, offset: u64, log: &[LogRecord], states: &[Naive]) -> Vec<u8> {
    match op {
        Op::Change { lag, edits, flaw } => {
            let change = change(offset, state_before(states, *lag), edits, *flaw);
            Record::Change(Box::new(change)).to_bytes()
        }
        Op::Repeat(_) if log.is_empty() => Vec::new(),
        Op::Repeat(index) => index.get(log).data.clone(),
        Op::Garbage(bytes) => bytes.clone(),
        Op::Snapshot { lag, damage } => {
            let snapshot = damage_snapshot(state_before(states, *lag).snapshot(), *damage);
            Record::Snapshot(Box::new(snapshot)).to_bytes()
        }
    }
}

fn state_before(states: &[Naive], lag: u8) -> &Naive {
    &states[states.len().saturating_sub(1 + usize::from(lag))]
}

fn change(offset: u64, view: &Naive, edits: &[Edit], flaw: Flaw) -> Change {
    let mut to = view.config.clone();
    for edit in edits {
        apply(*edit, &mut to);
    }
    let id = ChangeId::try_from(format!("change-{offset}")).unwrap();
    let mut change = Change::new(id, view.revision, &view.config, &to, "operator");
    match flaw {
        Flaw::None => {}
        Flaw::Digest => {
            to.limits.body += 1;
            change.digest = digest(&to);
        }
        Flaw::Order => {
            let first = change.delta.put.first().cloned();
            change.delta.put.extend(first);
            change.delta.removed.extend(view.config.keys().last());
        }
        Flaw::Future => change.base += 2,
    }
    change
}

fn damage_snapshot(mut snapshot: Snapshot, damage: Damage) -> Snapshot {
    match damage {
        Damage::None => {}
        Damage::Body => snapshot.config.limits.body += 1,
        Damage::Next => snapshot.next += 100,
        Damage::Window => {
            let twice = snapshot.window.clone();
            snapshot.window.extend(twice);
            snapshot.revision = u64::MAX;
        }
    }
    snapshot
}

fn apply(edit: Edit, config: &mut Config) {
    let Edit { kind, a, b } = edit;
    let (x, y) = (a.to_string(), b.to_string());
    match kind {
        0 => drop(config.bases.insert(x.into(), BaseModel { context: 10 })),
        1 => drop(config.bases.remove(x.as_str())),
        2 | 3 => put_adapter(config, &x, &y),
        4 => drop(config.adapters.remove(x.as_str())),
        5 => {
            if let Some(adapter) = config.adapters.get_mut(x.as_str()) {
                adapter.versions.insert(y.clone().into(), version(&y));
            }
        }
        6 => {
            if let Some(adapter) = config.adapters.get_mut(x.as_str()) {
                adapter.versions.remove(y.as_str());
            }
        }
        7 => {
            if let Some(adapter) = config.adapters.get_mut(x.as_str()) {
                adapter.default = Some(y.into());
            }
        }
        8 => drop(config.callers.insert(x.into(), caller(&y))),
        9 => drop(config.callers.remove(x.as_str())),
        10 | 11 => drop(config.pools.insert(x.into(), pool(a, b))),
        12 => drop(config.pools.remove(x.as_str())),
        13 => drop(config.services.insert(x.into(), service(&y))),
        _ => config.tuning.stall = u32::from(a) * 40,
    }
}

fn put_adapter(config: &mut Config, id: &str, base: &str) {
    let versions = [("0".into(), version(base))];
    let adapter = Adapter {
        base: base.into(),
        default: None,
        versions: versions.into(),
    };
    config.adapters.insert(id.into(), adapter);
}

fn version(path: &str) -> Version {
    let path = path.to_owned();
    Version { path }
}

fn caller(name: &str) -> Caller {
    Caller {
        keys: [hash_key(name)].into(),
        claim: 1,
        priority: 0,
        grant: Grant {
            adapters: [name.into()].into(),
            ..Grant::default()
        },
    }
}

fn pool(a: u8, b: u8) -> Pool {
    let kind = if b.is_multiple_of(2) {
        PoolKind::Service {
            concurrency: 1,
            parts: 1 + u32::from(a % 2),
        }
    } else {
        PoolKind::Model {
            base: a.to_string().into(),
            slots: 1,
            batch: u32::from(a),
            fencing: false,
        }
    };
    Pool { kind, queue: 1 }
}

fn service(pool: &str) -> Service {
    let route = Route {
        method: None,
        prefix: "/".to_owned(),
        idempotent: false,
        key: IdempotencyKeyRule::Required,
    };
    Service {
        pool: pool.into(),
        routes: vec![route],
    }
}
