//! What a fold says of a record.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::objection::SnapshotRejection;
use super::record::ChangeId;
use crate::fault::Fault;
use crate::model::ItemKey;

const DETAIL_LEN: usize = 200;

/// Word on a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// In force from this revision on.
    Accepted {
        /// Revision.
        revision: u64,
    },
    /// Never in force.
    Refused(RefusalCause),
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum RefusalCause {
    /// Made from another revision than the one in force.
    #[snafu(display("made from revision {base}, but {revision} was in force"))]
    Stale {
        /// Revision it was made from.
        base: u64,
        /// Revision in force.
        revision: u64,
    },
    /// Delta does not fit.
    #[snafu(display("{detail}"))]
    Delta {
        /// Why, cut short.
        detail: String,
    },
    /// Result has faults.
    #[snafu(display("{count} faults, the first: {first}"))]
    Faulty {
        /// Faults.
        count: u64,
        /// First of them, cut short.
        first: String,
    },
    /// Result has another digest than stated.
    #[snafu(display("result has another digest than stated"))]
    Digest,
}

impl RefusalCause {
    pub(super) fn faulty(faults: &[Fault]) -> Self {
        Self::Faulty {
            count: faults.len() as u64,
            first: faults.first().map(short).unwrap_or_default(),
        }
    }
}

/// Display of a value, cut to a length that a window of verdicts can hold.
pub(super) fn short(value: &impl ToString) -> String {
    value.to_string().chars().take(DETAIL_LEN).collect()
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldEvent {
    /// Seen before; nothing changed.
    AlreadyApplied,
    /// Change in force.
    Accepted {
        /// Change.
        id: ChangeId,
        /// Its revision.
        revision: u64,
        /// Items it touched.
        touched: Vec<ItemKey>,
    },
    /// Change refused.
    Refused {
        /// Change.
        id: ChangeId,
        /// Why.
        cause: RefusalCause,
    },
    /// Change settled before; its first verdict holds.
    AlreadySettled {
        /// Change.
        id: ChangeId,
    },
    /// Not a record; refused.
    Malformed {
        /// Offset.
        offset: u64,
        /// Why.
        detail: String,
    },
    /// Record of a later format. The fold stays before it: this process must be upgraded.
    UnsupportedFormat {
        /// Offset.
        offset: u64,
        /// Format.
        format: u32,
    },
    /// Snapshot that agrees with this fold.
    Confirmed,
    /// Snapshot not used.
    Ignored(SnapshotRejection),
    /// Snapshot that started this fold, or took it over a gap; read on from [`super::Fold::next`].
    Restored {
        /// Revision in force now.
        revision: u64,
    },
}

/// Records were not seen and may be trimmed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(
    display("step fold: wanted offset {wanted}, found {found}; a snapshot is needed"),
    visibility(pub(super))
)]
pub struct GapError {
    /// Offset wanted.
    pub wanted: u64,
    /// Offset found.
    pub found: u64,
}
