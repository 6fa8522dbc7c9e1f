//! What a follower gives.

use pumicecleat_types::LogRecord;
use snafu::Snafu;

/// What happened to the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowEvent {
    /// Next records, in a row.
    Records(Vec<LogRecord>),
    /// Records from the offset wanted up to `first` are no longer kept; the follower waits for a
    /// `seek`.
    Trimmed {
        /// Oldest offset kept.
        first: u64,
        /// Next free offset.
        next: u64,
    },
    /// No record is left; told once after records and once after an outage.
    CaughtUp {
        /// Next free offset.
        next: u64,
    },
    /// A read timed out without an answer; it is retried on another connection.
    Unanswered,
    /// Log does not answer; told once, and tried on until it does.
    Outage {
        /// First failure, for people.
        detail: String,
    },
}

/// A log that contradicts itself.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FollowError {
    /// Offsets do not rise one by one.
    #[snafu(display("step follow {stream}, peer log: offset {found} where {expected} is due"))]
    Gap {
        /// Stream.
        stream: String,
        /// Offset due.
        expected: u64,
        /// Offset found.
        found: u64,
    },
    /// Log has come back from an older copy: offsets are given out again.
    #[snafu(display("step follow {stream}, peer log: era {found} after {known}"))]
    Era {
        /// Stream.
        stream: String,
        /// Era known.
        known: u64,
        /// Era found.
        found: u64,
    },
    /// Log ends before an offset that was read.
    #[snafu(display("step follow {stream}, peer log: ends at {next}, read up to {expected}"))]
    Shrunk {
        /// Stream.
        stream: String,
        /// Offset due.
        expected: u64,
        /// Next free offset, by the log's word.
        next: u64,
    },
}
