//! The fold over the log's `config` stream: which configuration is in force.
//!
//! Every reader applies the same records in the order of their offsets and so reaches the same
//! verdicts without coordination. A change is accepted only if the revision it is based on is the
//! one in force, its delta fits, and the result is valid and has the stated digest. If operators
//! race, one wins; the changes of the others are refused, and nothing is rolled back.
//!
//! The revision is the offset of the last accepted change, plus one; 0 means nothing was accepted
//! yet. A count would identify it as well, but an offset is known to any reader of the log, even if
//! its beginning has been trimmed, and it locates the change.
//!
//! A change that is appended twice (retried by its author after a lost reply) keeps its first
//! verdict. The fold remembers the verdicts of the last [`VERDICT_WINDOW`] changes; this window is
//! part of snapshots, so that readers that start late reach the same verdicts.
//!
//! A snapshot record of the log is checked by readers that know the state it covers, and is the
//! starting point of those that don't. After a start, the reader continues at [`Fold::next`], which
//! may be before the snapshot record's own offset.

mod adopt;
mod change;
mod due;
mod event;
mod items;
mod objection;
mod record;
mod scan;
mod view;
mod window;

use pumicecleat_types::LogRecord;

use crate::delta::{Delta, DeltaError};
use crate::digest::Digest;
use crate::model::Config;
use crate::state::State;

use view::RecordView;
use window::Window;

pub use adopt::SnapshotError;
pub use due::{DueReason, DueSnapshot, SnapshotProgress};
pub use event::{FoldEvent, GapError, RefusalCause, Verdict};
pub use objection::SnapshotRejection;
pub use record::{Change, ChangeId, ChangeIdError, Record, RecordError, SettledChange, Snapshot};
pub use scan::SnapshotScan;
pub use window::VERDICT_WINDOW;

use event::GapSnafu;

/// State of a reader of the `config` stream.
#[derive(Clone, Debug)]
pub struct Fold {
    state: State,
    revision: u64,
    next: u64,
    window: Window,
    mark: SnapshotProgress,
}

impl Default for Fold {
    fn default() -> Self {
        Self::new()
    }
}

impl Fold {
    /// Creates a fold that has applied no records.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: State::empty(),
            revision: 0,
            next: 0,
            window: Window::default(),
            mark: SnapshotProgress::default(),
        }
    }

    /// Configuration in force; empty at revision 0.
    #[must_use]
    pub fn config(&self) -> &Config {
        self.state.config()
    }

    /// Revision in force, 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Digest of the configuration in force.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.state.digest()
    }

    /// Digest that the configuration in force would have after a delta, for the author of a
    /// change; validates neither the delta nor the result.
    ///
    /// # Errors
    /// [`DeltaError`] if the delta's keys are out of order.
    pub fn digest_after(&self, delta: &Delta) -> Result<Digest, DeltaError> {
        self.state.digest_after(delta)
    }

    /// Offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Verdict on a change, if it is among the last [`VERDICT_WINDOW`].
    #[must_use]
    pub fn verdict(&self, id: &ChangeId) -> Option<&Verdict> {
        self.window.verdict(id)
    }

    /// Applies the next record. Records before [`Fold::next`] change nothing.
    ///
    /// # Errors
    /// [`GapError`] if earlier records are missing and this one is no snapshot that covers them:
    /// the reader needs those records or a snapshot.
    pub fn apply(&mut self, record: &LogRecord) -> Result<FoldEvent, GapError> {
        if record.offset < self.next {
            return Ok(FoldEvent::AlreadyApplied);
        }
        if record.offset > self.next {
            return match Record::from_bytes(&record.data) {
                Ok(Record::Snapshot(snapshot)) => self.start_from_record(record, *snapshot),
                _ => self.gap(record),
            };
        }
        let decoded = RecordView::from_bytes(&record.data);
        if let Err(RecordError::UnsupportedFormat { format }) = decoded {
            let offset = record.offset;
            return Ok(FoldEvent::UnsupportedFormat { offset, format });
        }
        self.next = record.offset.saturating_add(1);
        self.mark.count(record);
        Ok(match decoded {
            Ok(RecordView::Change(change)) => self.decide(record.offset, *change),
            Ok(RecordView::Snapshot(view)) => self.check_snapshot(record, &view),
            Ok(RecordView::Checked(checked)) => self.compare_checked(record, &checked),
            Err(error) => FoldEvent::Malformed {
                offset: record.offset,
                detail: error.to_string(),
            },
        })
    }

    /// Applies the next record, a snapshot whose scan is complete, with the same result as
    /// [`Fold::apply`].
    ///
    /// # Errors
    /// [`GapError`], as for [`Fold::apply`].
    pub fn apply_scanned(
        &mut self,
        record: &LogRecord,
        scan: SnapshotScan<'_>,
    ) -> Result<FoldEvent, GapError> {
        let Some(view) = scan.finish().filter(|_| record.offset == self.next) else {
            return self.apply(record);
        };
        self.next = record.offset.saturating_add(1);
        self.mark.count(record);
        Ok(self.check_snapshot(record, &view))
    }

    fn gap<T>(&self, record: &LogRecord) -> Result<T, GapError> {
        let wanted = self.next;
        let found = record.offset;
        GapSnafu { wanted, found }.fail()
    }

    /// Returns the whole state, with a copy of the configuration.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            next: self.next,
            digest: self.digest(),
            config: self.config().clone(),
            window: self.window.to_vec(),
            mark: self.mark.clone(),
        }
    }
}
