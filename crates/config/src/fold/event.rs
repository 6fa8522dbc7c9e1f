//! Results of applying a record to a fold.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::objection::SnapshotRejection;
use super::record::ChangeId;
use crate::fault::Fault;
use crate::model::ItemKey;

/// Maximum length of an error message in a verdict.
const MAX_DETAIL_CHARS: usize = 200;

/// Decision on a change.
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
    /// Based on another revision than the one in force.
    #[snafu(display("made from revision {base}, but {revision} was in force"))]
    Stale {
        /// Revision it is based on.
        base: u64,
        /// Revision in force.
        revision: u64,
    },
    /// Delta does not fit.
    #[snafu(display("{detail}"))]
    Delta {
        /// Error message, truncated.
        detail: String,
    },
    /// Result has faults.
    #[snafu(display("{count} faults, the first: {first}"))]
    Faulty {
        /// Number of faults.
        count: u64,
        /// First fault, truncated.
        first: String,
    },
    /// Digest of the result differs from the stated one.
    #[snafu(display("result has another digest than stated"))]
    Digest,
}

impl RefusalCause {
    pub(super) fn faulty(faults: &[Fault]) -> Self {
        Self::Faulty {
            count: faults.len() as u64,
            first: faults.first().map(truncated).unwrap_or_default(),
        }
    }
}

/// Formats a value, truncated to limit the size of the verdicts in the window.
pub(super) fn truncated(value: &impl ToString) -> String {
    value.to_string().chars().take(MAX_DETAIL_CHARS).collect()
}

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldEvent {
    /// Record was applied before; nothing changed.
    AlreadyApplied,
    /// Change was accepted and is in force.
    Accepted {
        /// Change id.
        id: ChangeId,
        /// Its revision.
        revision: u64,
        /// Keys of the items it touched.
        touched: Vec<ItemKey>,
    },
    /// Change was refused.
    Refused {
        /// Change id.
        id: ChangeId,
        /// Reason.
        cause: RefusalCause,
    },
    /// Change was decided before; its first verdict stands.
    AlreadySettled {
        /// Change id.
        id: ChangeId,
    },
    /// Not a valid record; skipped.
    Malformed {
        /// Offset.
        offset: u64,
        /// Reason.
        detail: String,
    },
    /// Record of a newer format. The fold does not advance past it: this process must be upgraded.
    UnsupportedFormat {
        /// Offset.
        offset: u64,
        /// Format.
        format: u32,
    },
    /// Snapshot agrees with this fold.
    Confirmed,
    /// Snapshot was rejected.
    Ignored(SnapshotRejection),
    /// Fold was started or moved past a gap by a snapshot; continue at [`super::Fold::next`].
    Restored {
        /// New revision in force.
        revision: u64,
    },
}

/// Records before this one were not applied, and may have been trimmed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(
    display("step fold: wanted offset {wanted}, found {found}; a snapshot is needed"),
    visibility(pub(super))
)]
pub struct GapError {
    /// Next offset of the fold.
    pub wanted: u64,
    /// Offset of the record.
    pub found: u64,
}
