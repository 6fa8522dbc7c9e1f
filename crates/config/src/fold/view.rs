//! Snapshots without a configuration of their own: written from a fold, or checked by one.

use pumicecleat_types::encode;
use serde::{Deserialize, Serialize};

use super::due::SnapshotProgress;
use super::record::{Change, SettledChange, has_parted, open, seal};
use super::{Fold, RecordError, items};
use crate::digest::{Digest, Sum};
use crate::model::Config;

/// Record as a reader in step needs it.
#[derive(Deserialize)]
pub(super) enum RecordView {
    Change(Box<Change>),
    Snapshot(Box<SnapshotView>),
    Checked(Checked),
}

/// What stands for a snapshot record that its teller has checked, for readers that hold the state:
/// it never stands in the log.
#[derive(Serialize, Deserialize)]
pub(super) struct Checked {
    pub(super) revision: u64,
    pub(super) next: u64,
    pub(super) digest: Digest,
}

impl RecordView {
    pub(super) fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        open(bytes)
    }
}

/// Snapshot whose items are summed only.
#[derive(Deserialize)]
pub(super) struct SnapshotView {
    pub(super) revision: u64,
    pub(super) next: u64,
    pub(super) digest: Digest,
    #[serde(rename = "config", deserialize_with = "items::sum")]
    pub(super) sum: Sum,
    pub(super) window: Vec<SettledChange>,
    pub(super) mark: SnapshotProgress,
}

/// Snapshot written from a fold, with the fields of [`super::Snapshot`].
#[derive(Serialize)]
struct SnapshotRef<'f> {
    revision: u64,
    next: u64,
    digest: Digest,
    #[serde(serialize_with = "items::serialize")]
    config: &'f Config,
    window: Vec<SettledChange>,
    mark: &'f SnapshotProgress,
}

/// Record written from a fold, with the variant of [`super::Record`].
#[derive(Serialize)]
enum RecordRef<'f> {
    Snapshot(SnapshotRef<'f>),
    Checked(Checked),
}

impl Fold {
    /// Whole state, encoded for peers.
    #[must_use]
    pub fn snapshot_bytes(&self) -> Vec<u8> {
        encode(&self.view())
    }

    /// Whole state as a record, encoded for the log.
    #[must_use]
    pub fn snapshot_record(&self) -> Vec<u8> {
        let parted = has_parted(self.config());
        seal(&RecordRef::Snapshot(self.view()), parted)
    }

    /// Record that stands, at offset `at` in what peers are told, for a snapshot checked here.
    #[must_use]
    pub fn checked_record(&self, at: u64) -> Vec<u8> {
        seal(
            &RecordRef::Checked(Checked {
                revision: self.revision,
                next: at,
                digest: self.digest(),
            }),
            false,
        )
    }

    fn view(&self) -> SnapshotRef<'_> {
        SnapshotRef {
            revision: self.revision,
            next: self.next,
            digest: self.digest(),
            config: self.config(),
            window: self.window.to_vec(),
            mark: &self.mark,
        }
    }
}
