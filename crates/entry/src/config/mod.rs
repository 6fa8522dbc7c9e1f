//! The configuration in force at this entry: the fold, what is derived from it, and how it is kept
//! up to date.
//!
//! `follow` reads the log, `peers` asks other entries while the log is down, `snapshots` appends
//! snapshot records, and `recent` keeps the last records for sides and starting entries.

mod follow;
mod peers;
mod recent;
mod snapshots;

use std::cell::{Cell, RefCell};

use pumicecleat_config::model::{Config, Key};
use pumicecleat_config::{Due, Fold, FoldEvent, GapError, KeyIndex, Scan, SnapshotError};
use pumicecleat_types::{CallerId, ConfigAsk, ConfigReply, LogRecord, Millis};
use serde::{Deserialize, Serialize};

pub(crate) use follow::{CONFIG_CONDITION, catch_up, ensure_fresh, follow, refresh};
pub(crate) use snapshots::append_snapshots;

use recent::Recent;

/// Stream of the configuration.
const STREAM: &str = "config";

/// Configuration in force.
#[derive(Default)]
pub(crate) struct Configuration {
    state: RefCell<State>,
    confirmed: Cell<Option<Millis>>,
    /// What is held was the newest when it was read: to the log's end, or from a peer that vouches.
    vouched: Cell<bool>,
    /// Offset of a record that only a later version of this program can judge.
    newer: Cell<Option<u64>>,
    outage: Cell<Option<Millis>>,
    /// A read for a side that is ahead is under way.
    catching_up: Cell<bool>,
}

#[derive(Default)]
struct State {
    fold: Fold,
    keys: KeyIndex,
    recent: Recent,
}

/// State of the configuration for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDump {
    /// Revision in force, 0 for none.
    pub revision: u64,
    /// Digest of the configuration.
    pub digest: String,
    /// Offset of the record wanted next.
    pub next: u64,
    /// Records kept for sides.
    pub recent: usize,
    /// Time since the log was last read, milliseconds.
    pub age_ms: Option<u64>,
    /// Log does not answer.
    pub outage: bool,
}

impl Configuration {
    /// Revision in force, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.state.borrow().fold.revision()
    }

    /// Offset of the record wanted next.
    fn next(&self) -> u64 {
        self.state.borrow().fold.next()
    }

    /// Reads the configuration.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&Config) -> T) -> T {
        read(self.state.borrow().fold.config())
    }

    /// Caller that holds a bearer key.
    pub(crate) fn caller_by_key(&self, bearer: &str) -> Option<CallerId> {
        self.state.borrow().keys.caller(bearer).cloned()
    }

    /// Answers a side or a starting entry, once this entry vouches for what it holds: one that has
    /// read a part of the log may hold an older revision than the one in force.
    pub(crate) fn reply(&self, ask: ConfigAsk) -> ConfigReply {
        let state = self.state.borrow();
        if state.fold.revision() == 0 || !self.vouched.get() {
            return ConfigReply::NotReady;
        }
        let records = ask.from.and_then(|from| state.recent.from(from));
        records.map_or_else(
            || ConfigReply::Snapshot(state.fold.snapshot_bytes()),
            ConfigReply::Records,
        )
    }

    /// State for people.
    pub(crate) fn dump(&self, now: Millis) -> ConfigDump {
        let state = self.state.borrow();
        ConfigDump {
            revision: state.fold.revision(),
            digest: state.fold.digest().to_string(),
            next: state.fold.next(),
            recent: state.recent.len(),
            age_ms: self.confirmed.get().map(|at| now.since(at).0),
            outage: self.outage.get().is_some(),
        }
    }

    /// Whether the log was read to its end within `span`.
    fn is_fresh(&self, now: Millis, span: Millis) -> bool {
        let confirmed = self.confirmed.get();
        confirmed.is_some_and(|at| now.since(at) <= span)
    }

    /// Snapshot record that is due, with the time by the caller's clock.
    fn due(&self, now: u64, retention: u64) -> Option<Due> {
        self.state.borrow().fold.snapshot_due(now, retention)
    }

    /// Takes a record in, with the scan of it if there was one.
    fn apply(&self, record: &LogRecord, scan: Option<Scan<'_>>) -> Result<FoldEvent, GapError> {
        let mut state = self.state.borrow_mut();
        let event = match scan {
            Some(scan) => state.fold.apply_scanned(record, scan)?,
            None => state.fold.apply(record)?,
        };
        match &event {
            FoldEvent::Old | FoldEvent::Newer { .. } => {}
            FoldEvent::Started { .. } => state.restart(),
            FoldEvent::Accepted { touched, .. } => {
                state.recent.push(record);
                if touched.iter().any(|key| matches!(key, Key::Caller(_))) {
                    state.index();
                }
            }
            // Sides hold the state; what they need is that it is the one checked here.
            FoldEvent::Confirmed => {
                let data = state.fold.checked_record(record.offset);
                let (offset, at) = (record.offset, record.at);
                state.recent.push(&LogRecord { offset, at, data });
            }
            // A snapshot from behind a gap that was refused moves nothing.
            FoldEvent::Ignored(_) if state.fold.next() <= record.offset => {}
            _ => state.recent.push(record),
        }
        Ok(event)
    }

    /// Takes a peer's snapshot in; tells whether it was newer.
    fn adopt(&self, bytes: &[u8]) -> Result<bool, SnapshotError> {
        let mut state = self.state.borrow_mut();
        let newer = state.fold.adopt(bytes)?;
        if newer {
            state.restart();
        }
        Ok(newer)
    }
}

impl State {
    fn restart(&mut self) {
        self.recent.restart(self.fold.next());
        self.index();
    }

    fn index(&mut self) {
        self.keys = KeyIndex::new(self.fold.config());
    }
}
