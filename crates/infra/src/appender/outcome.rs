//! Outcome of a submitted record.

use std::rc::Rc;
use std::time::Duration;

use snafu::Snafu;

use crate::AppendError;

/// Position of an appended record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendedRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Time of the append by the log's clock, milliseconds since 1970.
    pub at: u64,
}

/// Error of a record whose append was not confirmed.
#[derive(Clone, Debug, Snafu)]
pub enum SubmitError {
    /// Was not appended, and will not be.
    #[snafu(display("{source}"))]
    Refused {
        /// Cause, including the step and the peer; shared by all records of the batch.
        #[snafu(source(from(AppendError, Rc::new)))]
        source: Rc<AppendError>,
    },
    /// May have been appended, or may still be.
    #[snafu(display("{source}"))]
    Lost {
        /// Cause, including the step and the peer; shared by all records of the batch.
        #[snafu(source(from(AppendError, Rc::new)))]
        source: Rc<AppendError>,
    },
    /// Was not appended: the queue is full.
    #[snafu(display("step queue append, peer log: {limit} records wait already"))]
    Full {
        /// Maximum number of queued records.
        limit: usize,
    },
    /// May have been appended: the appending task ended before the outcome was known.
    #[snafu(display("step await append, peer log: the loop ended"))]
    Closed,
}

impl SubmitError {
    pub(super) fn new(error: &Rc<AppendError>) -> Self {
        let source = Rc::clone(error);
        match **error {
            AppendError::Refused { .. } => Self::Refused { source },
            AppendError::Lost { .. } => Self::Lost { source },
        }
    }

    /// Whether the record is known not to have been appended.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Full { .. })
    }

    /// Retry delay that the log requested.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { source } | Self::Lost { source } => source.retry_after(),
            Self::Full { .. } | Self::Closed => None,
        }
    }
}
