//! Naive reference implementation of the fold: keeps all verdicts and validates each whole result.
//!
//! Its rules can be disabled one by one, to test that the comparison detects it.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_config::model::{Config, Item, ItemKey, PoolKind};
use pumicecleat_config::{
    Change, ChangeId, Delta, Record, RefusalCause, SettledChange, Snapshot, SnapshotProgress,
    Verdict, check, digest,
};
use pumicecleat_types::LogRecord;

const MAX_DETAIL_CHARS: usize = 200;

/// Rules, correct or with one broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// All rules apply.
    Correct,
    /// Changes with any base are accepted.
    AnyBase,
    /// Results with faults are accepted.
    AnyResult,
    /// Results with another digest are accepted.
    AnyDigest,
    /// The last verdict on a repeated change replaces the first.
    LastVerdict,
    /// The revision is the number of accepted changes instead of an offset.
    CountRevision,
}

/// State after applying a log.
#[derive(Clone, Debug, Default)]
pub struct Naive {
    pub config: Config,
    pub revision: u64,
    pub next: u64,
    pub settled: BTreeMap<ChangeId, (u64, Verdict)>,
}

impl Naive {
    /// Applies all records of `log`.
    pub fn fold(log: &[LogRecord], rule: Rule) -> Self {
        let mut state = Self::default();
        for record in log {
            state.step(record, rule);
        }
        state
    }

    /// Applies the next record of the log.
    pub fn step(&mut self, record: &LogRecord, rule: Rule) {
        if let Ok(Record::Change(change)) = Record::from_bytes(&record.data) {
            self.judge(record.offset, &change, rule);
        }
        self.next = record.offset + 1;
    }

    fn judge(&mut self, offset: u64, change: &Change, rule: Rule) {
        let known = self.settled.contains_key(&change.id);
        if known && rule != Rule::LastVerdict {
            return;
        }
        let verdict = match self.result(change, rule) {
            Ok(config) => {
                self.config = config;
                self.revision = match rule {
                    Rule::CountRevision => self.revision + 1,
                    _ => offset + 1,
                };
                let revision = self.revision;
                Verdict::Accepted { revision }
            }
            Err(cause) => Verdict::Refused(cause),
        };
        self.settled.insert(change.id.clone(), (offset, verdict));
    }

    fn result(&self, change: &Change, rule: Rule) -> Result<Config, RefusalCause> {
        let revision = self.revision;
        let base = change.base;
        if base != revision && rule != Rule::AnyBase {
            return Err(RefusalCause::Stale { base, revision });
        }
        let applied = change.delta.apply(&self.config);
        let result = applied.map_err(|e| RefusalCause::Delta {
            detail: truncated(&e.to_string()),
        })?;
        assert_eq!(result, rebuild(&self.config, &change.delta));
        assert!(parts_unchanged(&self.config, &result));
        if digest(&result) != change.digest && rule != Rule::AnyDigest {
            return Err(RefusalCause::Digest);
        }
        let faults = check(&result);
        if faults.is_empty() {
            assert!(has_valid_references(&result));
        }
        match faults.first() {
            Some(first) if rule != Rule::AnyResult => Err(RefusalCause::Faulty {
                count: faults.len() as u64,
                first: truncated(&first.to_string()),
            }),
            _ => Ok(result),
        }
    }

    /// Returns a snapshot of the state.
    pub fn snapshot(&self) -> Snapshot {
        let settle = |(id, (offset, verdict)): (&ChangeId, &(u64, Verdict))| SettledChange {
            id: id.clone(),
            offset: *offset,
            verdict: verdict.clone(),
        };
        let mut window: Vec<_> = self.settled.iter().map(settle).collect();
        window.sort_by_key(|s| s.offset);
        Snapshot {
            revision: self.revision,
            next: self.next,
            digest: digest(&self.config),
            config: self.config.clone(),
            window,
            mark: SnapshotProgress::default(),
        }
    }
}

fn truncated(text: &str) -> String {
    text.chars().take(MAX_DETAIL_CHARS).collect()
}

/// Computes the result of a delta by rebuilding the configuration from all items.
fn rebuild(config: &Config, delta: &Delta) -> Config {
    let mut items: BTreeMap<ItemKey, Item> = config.items().map(|i| (i.key(), i)).collect();
    items.retain(|key, _| !delta.removed.contains(key));
    items.extend(delta.put.iter().map(|item| (item.key(), item.clone())));
    let all = Delta {
        removed: Vec::new(),
        put: items.into_values().collect(),
    };
    all.apply(&Config::default()).unwrap()
}

/// Whether the number of key parts is unchanged for all existing service pools.
fn parts_unchanged(old: &Config, new: &Config) -> bool {
    let parts = |config: &Config, id: &_| match config.pools.get(id)?.kind {
        PoolKind::Service { parts, .. } => Some(parts),
        PoolKind::Model { .. } => None,
    };
    old.pools.keys().all(|id| {
        let pair = parts(old, id).zip(parts(new, id));
        pair.is_none_or(|(a, b)| a == b)
    })
}

/// Whether the target of every reference exists and no two callers share a key.
fn has_valid_references(config: &Config) -> bool {
    let adapters = config.adapters.values().all(|a| {
        let default = a.default.iter().all(|v| a.versions.contains_key(v));
        default && !a.versions.is_empty() && config.bases.contains_key(&a.base)
    });
    let pools = config.pools.values().all(|p| match &p.kind {
        PoolKind::Model { base, .. } => config.bases.contains_key(base),
        PoolKind::Service { .. } => true,
    });
    let services = config.services.values().all(|s| {
        let pool = config.pools.get(&s.pool);
        pool.is_some_and(|p| matches!(p.kind, PoolKind::Service { .. }))
    });
    let callers = config.callers.values().all(|c| {
        let mut names = c.grant.adapters.iter();
        names.all(|a| config.adapters.contains_key(a))
    });
    let held: usize = config.callers.values().map(|c| c.keys.len()).sum();
    let keys: BTreeSet<_> = config.callers.values().flat_map(|c| &c.keys).collect();
    adapters && pools && services && callers && held == keys.len()
}
