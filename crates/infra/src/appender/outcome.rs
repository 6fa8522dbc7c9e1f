//! What became of a record.

use std::rc::Rc;
use std::time::Duration;

use snafu::Snafu;

use crate::AppendError;

/// Where a record stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendedRecord {
    /// Offset.
    pub offset: u64,
    /// Time of the append by the log's clock, milliseconds since 1970.
    pub at: u64,
}

/// A record without a word that it stands.
#[derive(Clone, Debug, Snafu)]
pub enum SubmitError {
    /// Does not stand, and won't.
    #[snafu(display("{source}"))]
    Refused {
        /// Cause, with step and peer; shared by the records of the batch.
        #[snafu(source(from(AppendError, Rc::new)))]
        source: Rc<AppendError>,
    },
    /// May stand, or may yet.
    #[snafu(display("{source}"))]
    Lost {
        /// Cause, with step and peer; shared by the records of the batch.
        #[snafu(source(from(AppendError, Rc::new)))]
        source: Rc<AppendError>,
    },
    /// Does not stand: too many wait.
    #[snafu(display("step queue append, peer log: {limit} records wait already"))]
    Full {
        /// Limit, records.
        limit: usize,
    },
    /// May stand: the loop ended first.
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

    /// Whether the record is known not to stand.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Full { .. })
    }

    /// When to come back, by the log's word.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { source } | Self::Lost { source } => source.retry_after(),
            Self::Full { .. } | Self::Closed => None,
        }
    }
}
