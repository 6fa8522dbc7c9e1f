//! The fold over the log's `config` stream: which configuration is in force.
//!
//! Every reader folds the same records in the order of their offsets and so comes to the same
//! verdicts, without asking anyone. A change is accepted only if the revision it was made from is
//! the one in force, its delta fits, and the result is free of faults and has the digest stated.
//! Of operators that race, one wins; the others' changes are refused, and nothing is undone.
//!
//! The revision is the offset of the last accepted change, plus one; 0 means nothing was accepted
//! yet. A count would name it as well, but an offset is known to whoever reads the log, whether or
//! not its beginning is still kept, and it says where to find the change.
//!
//! A change that comes twice (its author's retry after a lost reply) has one verdict, the first.
//! The fold remembers the verdicts of the last [`VERDICT_WINDOW`] changes; the window is part of what
//! snapshots carry, so that late readers give the same verdicts.
//!
//! A snapshot record of the log is checked by those who hold the state it covers, and starts those
//! who don't. The reader of a fold that has just started reads on from [`Fold::next`], which may
//! be before the snapshot record's own offset.

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
    /// Fold before the first record of the log.
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
    /// change; neither fit nor result are checked.
    ///
    /// # Errors
    /// [`DeltaError`] if the delta's keys are out of order.
    pub fn digest_after(&self, delta: &Delta) -> Result<Digest, DeltaError> {
        self.state.digest_after(delta)
    }

    /// Offset of the record wanted next.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Verdict on a change, if it is among the last [`VERDICT_WINDOW`].
    #[must_use]
    pub fn verdict(&self, id: &ChangeId) -> Option<&Verdict> {
        self.window.verdict(id)
    }

    /// Takes the next record in. Records before [`Fold::next`] change nothing.
    ///
    /// # Errors
    /// [`GapError`] if records before this one were not seen and it can't make up for them: the
    /// reader needs those records or a snapshot.
    pub fn apply(&mut self, record: &LogRecord) -> Result<FoldEvent, GapError> {
        if record.offset < self.next {
            return Ok(FoldEvent::AlreadyApplied);
        }
        if record.offset > self.next {
            return match Record::from_bytes(&record.data) {
                Ok(Record::Snapshot(snapshot)) => self.start(record, *snapshot),
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
            Ok(RecordView::Change(change)) => self.judge(record.offset, *change),
            Ok(RecordView::Snapshot(view)) => self.compare(record, &view),
            Ok(RecordView::Checked(checked)) => self.confirm(record, &checked),
            Err(error) => FoldEvent::Malformed {
                offset: record.offset,
                detail: error.to_string(),
            },
        })
    }

    /// Takes the next record in, a snapshot that a scan has come to the end of; the same as
    /// [`Fold::apply`].
    ///
    /// # Errors
    /// [`GapError`] as there.
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
        Ok(self.compare(record, &view))
    }

    fn gap<T>(&self, record: &LogRecord) -> Result<T, GapError> {
        let wanted = self.next;
        let found = record.offset;
        GapSnafu { wanted, found }.fail()
    }

    /// Whole state, with a configuration of its own.
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
