//! Snapshots without a copy of the configuration, for encoding from a fold and for checks.

use pumicecleat_types::encode;
use serde::{Deserialize, Serialize};

use super::due::SnapshotProgress;
use super::record::{
    Change, SettledChange, config_has_several_parts, decode_record, encode_envelope,
};
use super::{Fold, RecordError, items};
use crate::digest::{Digest, Sum};
use crate::model::Config;

/// Record as decoded by a reader without a gap.
#[derive(Deserialize)]
pub(super) enum RecordView {
    Change(Box<Change>),
    Snapshot(Box<SnapshotView>),
    Checked(Checked),
}

/// Replacement for a snapshot record that the sending peer has checked, for readers that have the
/// state already. Never written to the log.
#[derive(Serialize, Deserialize)]
pub(super) struct Checked {
    pub(super) revision: u64,
    pub(super) next: u64,
    pub(super) digest: Digest,
}

impl RecordView {
    pub(super) fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        decode_record(bytes)
    }
}

/// Snapshot of which only the sum of the items is kept.
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

/// Snapshot encoded from a fold, with the fields of [`super::Snapshot`].
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

/// Record encoded from a fold, with the snapshot variant of [`super::Record`].
#[derive(Serialize)]
enum RecordRef<'f> {
    Snapshot(SnapshotRef<'f>),
    Checked(Checked),
}

impl Fold {
    /// Encodes the complete state for peers.
    #[must_use]
    pub fn snapshot_bytes(&self) -> Vec<u8> {
        encode(&self.view())
    }

    /// Encodes the complete state as a record for the log.
    #[must_use]
    pub fn snapshot_record(&self) -> Vec<u8> {
        let several_parts = config_has_several_parts(self.config());
        encode_envelope(&RecordRef::Snapshot(self.view()), several_parts)
    }

    /// Encodes the record that replaces, at offset `at` in the records sent to peers, a snapshot
    /// that this fold has checked.
    #[must_use]
    pub fn checked_record(&self, at: u64) -> Vec<u8> {
        encode_envelope(
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
