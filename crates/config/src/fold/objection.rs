//! What speaks against a snapshot.

use snafu::Snafu;

/// Why a snapshot is not used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SnapshotRejection {
    /// Its numbers contradict each other or the record's offset.
    #[snafu(display("numbers contradict each other"))]
    InconsistentNumbers,
    /// Its body has another digest than stated.
    #[snafu(display("body has another digest than stated"))]
    DigestMismatch,
    /// Its configuration has faults.
    #[snafu(display("{count} faults, the first: {first}"))]
    Faulty {
        /// Faults.
        count: usize,
        /// First of them, cut short.
        first: String,
    },
    /// It contradicts the state held here.
    #[snafu(display("contradicts the state at offset {next}"))]
    StateMismatch {
        /// Offset it claims to cover up to.
        next: u64,
    },
    /// It covers a state that is forgotten here.
    #[snafu(display("covers offset {next}, which is forgotten here"))]
    StateForgotten {
        /// Offset it claims to cover up to.
        next: u64,
    },
}
