//! Configuration in force at this entry: the fold, the state derived from it, and how both are
//! kept up to date.
//!
//! `follow` reads the log, `peers` queries other entries while the log is down, `snapshots` appends
//! snapshot records, and `recent` buffers the latest records for sides and starting entries.

mod follow;
mod peers;
mod recent;
mod snapshots;

use std::cell::{Cell, RefCell};

use pumicecleat_config::model::{Config, ItemKey};
use pumicecleat_config::{
    DueSnapshot, Fold, FoldEvent, GapError, KeyIndex, SnapshotError, SnapshotScan,
};
use pumicecleat_types::{CallerId, ConfigCall, ConfigReply, LogRecord, Millis};
use serde::{Deserialize, Serialize};

pub(crate) use follow::{CONFIG_CONDITION, ensure_fresh, follow, refresh, spawn_refresh};
pub(crate) use snapshots::append_snapshots;

use recent::RecentRecords;

/// Log stream of the configuration.
const STREAM: &str = "config";

/// Configuration in force.
#[derive(Default)]
pub(crate) struct Configuration {
    state: RefCell<FoldState>,
    /// When the log was last read to its end.
    read_to_end_at: Cell<Option<Millis>>,
    /// Whether the configuration was the newest one when it was read, either from the log up to its
    /// end or from a peer with an authoritative configuration.
    authoritative: Cell<bool>,
    /// Offset of a record whose format only a later version of this program supports.
    unsupported_offset: Cell<Option<u64>>,
    outage_since: Cell<Option<Millis>>,
    /// Whether a read is in progress because a side reported a newer revision.
    refreshing: Cell<bool>,
}

#[derive(Default)]
struct FoldState {
    fold: Fold,
    keys: KeyIndex,
    recent: RecentRecords,
}

/// State of the configuration, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDump {
    /// Revision in force, 0 for none.
    pub revision: u64,
    /// Digest of the configuration.
    pub digest: String,
    /// Offset of the next record to read.
    pub next: u64,
    /// Number of records buffered for sides.
    pub recent: usize,
    /// Time since the log was last read to its end, in milliseconds.
    pub age_ms: Option<u64>,
    /// Whether the log is unreachable.
    pub outage: bool,
}

impl Configuration {
    /// Revision in force, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.state.borrow().fold.revision()
    }

    /// Offset of the next record to read.
    fn next_offset(&self) -> u64 {
        self.state.borrow().fold.next()
    }

    /// Calls `read` with the configuration in force.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&Config) -> T) -> T {
        read(self.state.borrow().fold.config())
    }

    /// Caller to which a bearer key belongs.
    pub(crate) fn caller_by_key(&self, bearer: &str) -> Option<CallerId> {
        self.state.borrow().keys.caller(bearer).cloned()
    }

    /// Reply to a side or a starting entry. Not ready until the configuration is authoritative: after
    /// reading only a part of the log, its revision may be older than the one in force.
    pub(crate) fn reply(&self, request: ConfigCall) -> ConfigReply {
        let state = self.state.borrow();
        if state.fold.revision() == 0 || !self.authoritative.get() {
            return ConfigReply::NotReady;
        }
        let records = request
            .from
            .and_then(|from| state.recent.records_from(from));
        records.map_or_else(
            || ConfigReply::Snapshot(state.fold.snapshot_bytes()),
            ConfigReply::Records,
        )
    }

    /// State of the configuration, as shown to operators.
    pub(crate) fn dump(&self, now: Millis) -> ConfigDump {
        let state = self.state.borrow();
        ConfigDump {
            revision: state.fold.revision(),
            digest: state.fold.digest().to_string(),
            next: state.fold.next(),
            recent: state.recent.len(),
            age_ms: self.read_to_end_at.get().map(|at| now.since(at).0),
            outage: self.outage_since.get().is_some(),
        }
    }

    /// Whether the log was read to its end within the last `max_age`.
    fn is_fresh(&self, now: Millis, max_age: Millis) -> bool {
        let read_to_end_at = self.read_to_end_at.get();
        read_to_end_at.is_some_and(|at| now.since(at) <= max_age)
    }

    /// Snapshot record that is due at `now`, a Unix time in milliseconds like `retention`.
    fn snapshot_due(&self, now: u64, retention: u64) -> Option<DueSnapshot> {
        self.state.borrow().fold.snapshot_due(now, retention)
    }

    /// Applies a record, using its scan if there is one.
    fn apply(
        &self,
        record: &LogRecord,
        scan: Option<SnapshotScan<'_>>,
    ) -> Result<FoldEvent, GapError> {
        let mut state = self.state.borrow_mut();
        let event = match scan {
            Some(scan) => state.fold.apply_scanned(record, scan)?,
            None => state.fold.apply(record)?,
        };
        match &event {
            FoldEvent::AlreadyApplied | FoldEvent::UnsupportedFormat { .. } => {}
            FoldEvent::Restored { .. } => state.restart(),
            FoldEvent::Accepted { touched, .. } => {
                state.recent.push(record);
                if touched.iter().any(|key| matches!(key, ItemKey::Caller(_))) {
                    state.rebuild_key_index();
                }
            }
            // Sides already have this state; they get a short record that confirms the check.
            FoldEvent::Confirmed => {
                let data = state.fold.checked_record(record.offset);
                let (offset, at) = (record.offset, record.at);
                state.recent.push(&LogRecord { offset, at, data });
            }
            // A rejected snapshot beyond a gap does not advance the fold.
            FoldEvent::Ignored(_) if state.fold.next() <= record.offset => {}
            _ => state.recent.push(record),
        }
        Ok(event)
    }

    /// Applies a peer's snapshot and returns whether it was newer.
    fn adopt_snapshot(&self, bytes: &[u8]) -> Result<bool, SnapshotError> {
        let mut state = self.state.borrow_mut();
        let newer = state.fold.adopt_snapshot(bytes)?;
        if newer {
            state.restart();
        }
        Ok(newer)
    }
}

impl FoldState {
    fn restart(&mut self) {
        self.recent.restart(self.fold.next());
        self.rebuild_key_index();
    }

    fn rebuild_key_index(&mut self) {
        self.keys = KeyIndex::new(self.fold.config());
    }
}
