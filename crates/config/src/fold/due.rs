//! When a snapshot record is due, and whose turn it is to append it.
//!
//! One is due once enough records or bytes have come since the last, or once a quarter of the
//! log's retention has passed: three more quarters are left to see an outage through. Any process
//! may append it and several may at once: each copy says the same, and the first that the log
//! takes makes it due no longer. To keep copies few, processes wait their turn, by a rank that
//! all can compute and that differs from one snapshot to the next.

use std::collections::BTreeSet;

use pumicecleat_types::{LogRecord, VmId};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::Fold;

/// Records since the last snapshot that make one due.
const RECORDS: u64 = 4096;
/// Bytes since the last snapshot that make one due.
const BYTES: u64 = 8 << 20;
/// Part of the retention after which one is due.
const RETENTION_PART: u64 = 4;
/// Wait between one rank and the next, milliseconds.
const TURN_MS: u64 = 2_000;
/// Part of the retention that a turn takes at most.
const TURN_PART: u64 = 16;

/// What came since the last snapshot in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// Offset that it covers up to, 0 for none.
    pub covered: u64,
    /// Log's time of it, or of the first record without one, milliseconds since 1970.
    pub at: Option<u64>,
    /// Records since.
    pub records: u64,
    /// Bytes since.
    pub bytes: u64,
    /// Log's time at which records or bytes made one due.
    pub full: Option<u64>,
}

impl SnapshotProgress {
    /// Counts a record of the log.
    pub(super) fn count(&mut self, record: &LogRecord) {
        self.at.get_or_insert(record.at);
        self.records += 1;
        self.bytes = self.bytes.saturating_add(record.data.len() as u64);
        if self.records >= RECORDS || self.bytes >= BYTES {
            self.full.get_or_insert(record.at);
        }
    }

    /// Starts over at a good snapshot; an older one than known changes nothing.
    pub(super) fn cover(&mut self, next: u64, at: u64) {
        if next >= self.covered {
            *self = Self {
                covered: next,
                at: Some(at),
                ..Self::default()
            };
        }
    }
}

/// What made a snapshot due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueReason {
    /// Records or bytes since the last.
    Size,
    /// Age of the last.
    Age,
}

/// A snapshot that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueSnapshot {
    /// Why.
    pub reason: DueReason,
    /// Since when, milliseconds since 1970.
    pub since: u64,
    retention: u64,
    covered: u64,
}

impl DueSnapshot {
    /// Time from which process `own` may append it; processes are the entries it knows of. Every
    /// process's time comes, also if those before it in rank are gone.
    #[must_use]
    pub fn append_time(&self, own: &VmId, entries: &BTreeSet<VmId>) -> u64 {
        let mine = self.rank(own);
        let before = entries.iter().filter(|e| self.rank(e) < mine).count();
        let wait = TURN_MS.saturating_mul(before as u64);
        self.since
            .saturating_add(wait.min(self.retention / TURN_PART))
    }

    fn rank(&self, vm: &VmId) -> [u8; 32] {
        let mut hasher = Sha256::new();
        hasher.update(self.covered.to_le_bytes());
        hasher.update(vm.as_str());
        hasher.finalize().into()
    }
}

impl Fold {
    /// Whether a snapshot record is due; `now` in milliseconds since 1970, `retention` of the log
    /// in milliseconds. One is due also if nothing was accepted yet: without it, no one could start
    /// once the records refused so far are trimmed.
    #[must_use]
    pub fn snapshot_due(&self, now: u64, retention: u64) -> Option<DueSnapshot> {
        let aged = self.mark.at?.saturating_add(retention / RETENTION_PART);
        let (since, reason) = match self.mark.full {
            Some(full) if full <= aged => (full, DueReason::Size),
            _ => (aged, DueReason::Age),
        };
        (since <= now).then_some(DueSnapshot {
            reason,
            since,
            retention,
            covered: self.mark.covered,
        })
    }
}
