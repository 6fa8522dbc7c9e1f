//! When a snapshot record is due, and when each process may append it.
//!
//! One is due once enough records or bytes follow the last one, or once a quarter of the log's
//! retention has passed: the other three quarters are left to survive an outage. Any process may
//! append it, also several at once: all copies are equivalent, and after the first one in the log
//! it is no longer due. To keep duplicates rare, each process waits for a delay by its rank, which
//! all processes can compute and which differs from one snapshot to the next.

use std::collections::BTreeSet;

use pumicecleat_types::{LogRecord, VmId};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::Fold;

/// Number of records since the last snapshot that makes one due.
const DUE_AFTER_RECORDS: u64 = 4096;
/// Number of bytes since the last snapshot that makes one due.
const DUE_AFTER_BYTES: u64 = 8 << 20;
/// Fraction of the retention, as a divisor, after which a snapshot is due.
const DUE_AGE_RETENTION_PART: u64 = 4;
/// Delay between consecutive ranks, milliseconds.
const RANK_DELAY_MS: u64 = 2_000;
/// Fraction of the retention, as a divisor, that limits the delay.
const MAX_DELAY_RETENTION_PART: u64 = 16;

/// Progress of the log since its last snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// Offset that the last snapshot covers up to, 0 for none.
    pub covered: u64,
    /// Log time of the last snapshot, or of the first record if there is none, milliseconds since
    /// 1970.
    pub at: Option<u64>,
    /// Records since the last snapshot.
    pub records: u64,
    /// Bytes since the last snapshot.
    pub bytes: u64,
    /// Log time at which the number of records or bytes made a snapshot due, milliseconds since
    /// 1970.
    pub full: Option<u64>,
}

impl SnapshotProgress {
    /// Counts a record of the log.
    pub(super) fn count(&mut self, record: &LogRecord) {
        self.at.get_or_insert(record.at);
        self.records += 1;
        self.bytes = self.bytes.saturating_add(record.data.len() as u64);
        if self.records >= DUE_AFTER_RECORDS || self.bytes >= DUE_AFTER_BYTES {
            self.full.get_or_insert(record.at);
        }
    }

    /// Resets the counts at a valid snapshot, unless it is older than the last one.
    pub(super) fn reset_at(&mut self, next: u64, at: u64) {
        if next >= self.covered {
            *self = Self {
                covered: next,
                at: Some(at),
                ..Self::default()
            };
        }
    }
}

/// Reason that a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueReason {
    /// Records or bytes since the last snapshot.
    Size,
    /// Age of the last snapshot.
    Age,
}

/// A snapshot that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueSnapshot {
    /// Reason.
    pub reason: DueReason,
    /// Time at which it became due, milliseconds since 1970.
    pub since: u64,
    retention: u64,
    covered: u64,
}

impl DueSnapshot {
    /// Time from which process `own` may append it, by its rank among the known `entries`. The
    /// delay is bounded, so that every process may append it eventually, even if those with a lower
    /// rank are gone.
    #[must_use]
    pub fn append_time(&self, own: &VmId, entries: &BTreeSet<VmId>) -> u64 {
        let own_rank = self.rank(own);
        let earlier = entries.iter().filter(|e| self.rank(e) < own_rank).count();
        let delay = RANK_DELAY_MS.saturating_mul(earlier as u64);
        self.since
            .saturating_add(delay.min(self.retention / MAX_DELAY_RETENTION_PART))
    }

    fn rank(&self, vm: &VmId) -> [u8; 32] {
        let mut hasher = Sha256::new();
        hasher.update(self.covered.to_le_bytes());
        hasher.update(vm.as_str());
        hasher.finalize().into()
    }
}

impl Fold {
    /// Returns the snapshot record that is due, if any; `now` in milliseconds since 1970,
    /// `retention` of the log in milliseconds. One becomes due even if nothing was accepted yet:
    /// without it, no reader could start once the records refused so far are trimmed.
    #[must_use]
    pub fn snapshot_due(&self, now: u64, retention: u64) -> Option<DueSnapshot> {
        let aged = self
            .mark
            .at?
            .saturating_add(retention / DUE_AGE_RETENTION_PART);
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
