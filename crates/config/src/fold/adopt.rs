//! Snapshots: checked against the current state, or used to replace an older one.

use std::collections::BTreeSet;

use pumicecleat_types::{CodecError, LogRecord, decode};
use snafu::{ResultExt, Snafu};

use super::Fold;
use super::due::SnapshotProgress;
use super::event::{FoldEvent, GapError, truncated};
use super::objection::SnapshotRejection;
use super::record::{SettledChange, Snapshot};
use super::view::{Checked, SnapshotView};
use super::window::{VERDICT_WINDOW, Window};
use crate::state::State;

/// A peer's snapshot that can't be used.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// Not a snapshot.
    #[snafu(display("step snapshot: {source}"))]
    Malformed {
        /// Why.
        source: CodecError,
    },
    /// An inconsistent or invalid snapshot.
    #[snafu(display("step snapshot: {rejection}"))]
    Unusable {
        /// Why.
        rejection: SnapshotRejection,
    },
}

impl Fold {
    /// Creates a fold from a peer's snapshot.
    ///
    /// # Errors
    /// [`SnapshotError`] if it is malformed, inconsistent or has faults.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let snapshot = decode::<Snapshot>(bytes).context(MalformedSnafu)?;
        Self::build(snapshot).map_err(|rejection| SnapshotError::Unusable { rejection })
    }

    /// Replaces the state by a peer's snapshot if that is newer; returns whether it was.
    ///
    /// # Errors
    /// [`SnapshotError`] if it can't be used, or contradicts the current state.
    pub fn adopt_snapshot(&mut self, bytes: &[u8]) -> Result<bool, SnapshotError> {
        let snapshot = decode::<Snapshot>(bytes).context(MalformedSnafu)?;
        if snapshot.next <= self.next {
            return Ok(false);
        }
        self.replace_state(snapshot)
            .map_err(|rejection| SnapshotError::Unusable { rejection })?;
        Ok(true)
    }

    /// Restores the state from a snapshot record that follows a gap.
    pub(super) fn start_from_record(
        &mut self,
        record: &LogRecord,
        snapshot: Snapshot,
    ) -> Result<FoldEvent, GapError> {
        let next = snapshot.next;
        if next <= self.next || next > record.offset {
            return self.gap(record);
        }
        if let Err(rejection) = self.replace_state(snapshot) {
            return Ok(FoldEvent::Ignored(rejection));
        }
        self.mark.reset_at(next, record.at);
        let revision = self.revision;
        Ok(FoldEvent::Restored { revision })
    }

    /// Checks a snapshot record against the current state.
    pub(super) fn check_snapshot(
        &mut self,
        record: &LogRecord,
        snapshot: &SnapshotView,
    ) -> FoldEvent {
        if let Some(rejection) = self.find_conflict(record.offset, snapshot) {
            return FoldEvent::Ignored(rejection);
        }
        self.mark.reset_at(snapshot.next, record.at);
        FoldEvent::Confirmed
    }

    /// Compares the current state with that of the peer that checked a snapshot. This doesn't show
    /// what the log contains, so a due snapshot remains due.
    pub(super) fn compare_checked(&self, record: &LogRecord, checked: &Checked) -> FoldEvent {
        let next = checked.next;
        if next > record.offset {
            return FoldEvent::Ignored(SnapshotRejection::InconsistentNumbers);
        }
        match self.window.revision_at(next) {
            None => FoldEvent::Ignored(SnapshotRejection::StateForgotten { next }),
            Some(known) if known == (checked.revision, checked.digest) => FoldEvent::Confirmed,
            Some(_) => FoldEvent::Ignored(SnapshotRejection::StateMismatch { next }),
        }
    }

    fn find_conflict(&self, offset: u64, snapshot: &SnapshotView) -> Option<SnapshotRejection> {
        let next = snapshot.next;
        let numbers = SnapshotNumbers::new(snapshot.revision, next, &snapshot.mark);
        if next > offset || !numbers.are_consistent(&snapshot.window) {
            return Some(SnapshotRejection::InconsistentNumbers);
        }
        let Some((revision, known)) = self.window.revision_at(next) else {
            return Some(SnapshotRejection::StateForgotten { next });
        };
        let same = revision == snapshot.revision && known == snapshot.digest;
        if !same || !self.window.extends(&snapshot.window, next) {
            return Some(SnapshotRejection::StateMismatch { next });
        }
        // Other readers will start from the body, so it must match its digest.
        (snapshot.sum.digest() != snapshot.digest).then_some(SnapshotRejection::DigestMismatch)
    }

    fn replace_state(&mut self, snapshot: Snapshot) -> Result<(), SnapshotRejection> {
        let next = snapshot.next;
        let older = snapshot.revision < self.revision;
        let other = snapshot.revision == self.revision && snapshot.digest != self.digest();
        if older || other {
            return Err(SnapshotRejection::StateMismatch { next });
        }
        *self = Self::build(snapshot)?;
        Ok(())
    }

    fn build(snapshot: Snapshot) -> Result<Self, SnapshotRejection> {
        let numbers = SnapshotNumbers::new(snapshot.revision, snapshot.next, &snapshot.mark);
        if !numbers.are_consistent(&snapshot.window) {
            return Err(SnapshotRejection::InconsistentNumbers);
        }
        let state = State::new(snapshot.config).map_err(|faults| SnapshotRejection::Faulty {
            count: faults.len(),
            first: faults.first().map(truncated).unwrap_or_default(),
        })?;
        if state.digest() != snapshot.digest {
            return Err(SnapshotRejection::DigestMismatch);
        }
        let mut window = Window::new(snapshot.revision, snapshot.digest);
        for settled in snapshot.window {
            window.push(settled);
        }
        Ok(Self {
            state,
            window,
            revision: snapshot.revision,
            next: snapshot.next,
            mark: snapshot.mark,
        })
    }
}

/// Revision and offsets of a snapshot.
struct SnapshotNumbers {
    revision: u64,
    next: u64,
    covered: u64,
}

impl SnapshotNumbers {
    fn new(revision: u64, next: u64, mark: &SnapshotProgress) -> Self {
        let covered = mark.covered;
        Self {
            revision,
            next,
            covered,
        }
    }

    /// Whether they are consistent with each other and with the window.
    fn are_consistent(&self, window: &[SettledChange]) -> bool {
        let ascending = window.is_sorted_by(|a, b| a.offset < b.offset);
        let within = window.last().is_none_or(|s| s.offset < self.next);
        let in_range = self.revision <= self.next && self.covered <= self.next;
        let ids: BTreeSet<_> = window.iter().map(|s| &s.id).collect();
        let unique = ids.len() == window.len() && window.len() <= VERDICT_WINDOW;
        ascending && within && in_range && unique
    }
}
