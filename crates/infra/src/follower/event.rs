//! Events and errors of a follower.

use pumicecleat_types::LogRecord;
use snafu::Snafu;

/// Event of a followed stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowEvent {
    /// Next records, with consecutive offsets.
    Records(Vec<LogRecord>),
    /// Records from the next offset up to `first` have been trimmed; the follower needs a `seek` to
    /// continue.
    Trimmed {
        /// Oldest retained offset.
        first: u64,
        /// Next free offset.
        next: u64,
    },
    /// No record is left; reported once after records and once after an outage, or for each read.
    CaughtUp {
        /// Next free offset.
        next: u64,
    },
    /// A read timed out without a response; it is retried on another connection.
    Unanswered,
    /// Reads fail; reported once, and retried until a read succeeds.
    Outage {
        /// Human-readable description of the first failure.
        detail: String,
    },
}

/// Inconsistent responses of the log.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FollowError {
    /// Offsets are not consecutive.
    #[snafu(display("step follow {stream}, peer log: offset {found} where {expected} is due"))]
    Gap {
        /// Stream.
        stream: String,
        /// Expected offset.
        expected: u64,
        /// Offset received.
        found: u64,
    },
    /// The log was restored from an older copy, so that offsets are assigned again.
    #[snafu(display("step follow {stream}, peer log: era {found} after {known}"))]
    Era {
        /// Stream.
        stream: String,
        /// Previous era.
        known: u64,
        /// Era received.
        found: u64,
    },
    /// The log ends before an offset that was read.
    #[snafu(display("step follow {stream}, peer log: ends at {next}, read up to {expected}"))]
    Shrunk {
        /// Stream.
        stream: String,
        /// Expected offset.
        expected: u64,
        /// Next free offset as reported by the log.
        next: u64,
    },
}
