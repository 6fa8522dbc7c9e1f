//! Reasons to reject a snapshot.

use snafu::Snafu;

/// Reason that a snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SnapshotRejection {
    /// Its revision and offsets contradict each other or the record's offset.
    #[snafu(display("numbers contradict each other"))]
    InconsistentNumbers,
    /// The digest of its body differs from the stated one.
    #[snafu(display("body has another digest than stated"))]
    DigestMismatch,
    /// Its configuration has faults.
    #[snafu(display("{count} faults, the first: {first}"))]
    Faulty {
        /// Number of faults.
        count: usize,
        /// First fault, truncated.
        first: String,
    },
    /// It contradicts the state of this fold.
    #[snafu(display("contradicts the state at offset {next}"))]
    StateMismatch {
        /// Offset that it claims to cover up to.
        next: u64,
    },
    /// It covers a state that this fold no longer remembers.
    #[snafu(display("covers offset {next}, which is forgotten here"))]
    StateForgotten {
        /// Offset that it claims to cover up to.
        next: u64,
    },
}
