//! Snapshots: checked against the state held, or taken in place of an older one.

use std::collections::BTreeSet;

use pumicecleat_types::{CodecError, LogRecord, decode};
use snafu::{ResultExt, Snafu};

use super::Fold;
use super::due::SnapshotProgress;
use super::event::{FoldEvent, GapError, short};
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
    /// A snapshot with faults.
    #[snafu(display("step snapshot: {objection}"))]
    Unusable {
        /// Why.
        objection: SnapshotRejection,
    },
}

impl Fold {
    /// Fold from a peer's snapshot.
    ///
    /// # Errors
    /// [`SnapshotError`] if it is not whole, consistent and free of faults.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let snapshot = decode::<Snapshot>(bytes).context(MalformedSnafu)?;
        Self::build(snapshot).map_err(|objection| SnapshotError::Unusable { objection })
    }

    /// Takes a peer's snapshot in if it is newer than what is held; tells whether it was.
    ///
    /// # Errors
    /// [`SnapshotError`] if it can't be used, or contradicts the state held.
    pub fn adopt_snapshot(&mut self, bytes: &[u8]) -> Result<bool, SnapshotError> {
        let snapshot = decode::<Snapshot>(bytes).context(MalformedSnafu)?;
        if snapshot.next <= self.next {
            return Ok(false);
        }
        self.advance_to(snapshot)
            .map_err(|objection| SnapshotError::Unusable { objection })?;
        Ok(true)
    }

    /// Takes a snapshot record in that lies behind a gap.
    pub(super) fn start(
        &mut self,
        record: &LogRecord,
        snapshot: Snapshot,
    ) -> Result<FoldEvent, GapError> {
        let next = snapshot.next;
        if next <= self.next || next > record.offset {
            return self.gap(record);
        }
        if let Err(objection) = self.advance_to(snapshot) {
            return Ok(FoldEvent::Ignored(objection));
        }
        self.mark.cover(next, record.at);
        let revision = self.revision;
        Ok(FoldEvent::Restored { revision })
    }

    /// Says whether a snapshot record agrees with the state held.
    pub(super) fn compare(&mut self, record: &LogRecord, snapshot: &SnapshotView) -> FoldEvent {
        if let Some(objection) = self.object(record.offset, snapshot) {
            return FoldEvent::Ignored(objection);
        }
        self.mark.cover(snapshot.next, record.at);
        FoldEvent::Confirmed
    }

    /// Says whether the teller of a checked snapshot holds the same state. What the log holds is not
    /// known from it, so that a snapshot remains due.
    pub(super) fn confirm(&self, record: &LogRecord, checked: &Checked) -> FoldEvent {
        let next = checked.next;
        if next > record.offset {
            return FoldEvent::Ignored(SnapshotRejection::InconsistentNumbers);
        }
        match self.window.at(next) {
            None => FoldEvent::Ignored(SnapshotRejection::StateForgotten { next }),
            Some(known) if known == (checked.revision, checked.digest) => FoldEvent::Confirmed,
            Some(_) => FoldEvent::Ignored(SnapshotRejection::StateMismatch { next }),
        }
    }

    fn object(&self, offset: u64, snapshot: &SnapshotView) -> Option<SnapshotRejection> {
        let next = snapshot.next;
        let numbers = Numbers::new(snapshot.revision, next, &snapshot.mark);
        if next > offset || !numbers.fit(&snapshot.window) {
            return Some(SnapshotRejection::InconsistentNumbers);
        }
        let Some((revision, known)) = self.window.at(next) else {
            return Some(SnapshotRejection::StateForgotten { next });
        };
        let same = revision == snapshot.revision && known == snapshot.digest;
        if !same || !self.window.follows(&snapshot.window, next) {
            return Some(SnapshotRejection::StateMismatch { next });
        }
        // Others will start from the body, so that it must be what its digest says.
        (snapshot.sum.digest() != snapshot.digest).then_some(SnapshotRejection::DigestMismatch)
    }

    fn advance_to(&mut self, snapshot: Snapshot) -> Result<(), SnapshotRejection> {
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
        let numbers = Numbers::new(snapshot.revision, snapshot.next, &snapshot.mark);
        if !numbers.fit(&snapshot.window) {
            return Err(SnapshotRejection::InconsistentNumbers);
        }
        let state = State::new(snapshot.config).map_err(|faults| SnapshotRejection::Faulty {
            count: faults.len(),
            first: faults.first().map(short).unwrap_or_default(),
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

/// Numbers of a snapshot.
struct Numbers {
    revision: u64,
    next: u64,
    covered: u64,
}

impl Numbers {
    fn new(revision: u64, next: u64, mark: &SnapshotProgress) -> Self {
        let covered = mark.covered;
        Self {
            revision,
            next,
            covered,
        }
    }

    /// Whether they may stand together, and with the window.
    fn fit(&self, window: &[SettledChange]) -> bool {
        let rising = window.is_sorted_by(|a, b| a.offset < b.offset);
        let within = window.last().is_none_or(|s| s.offset < self.next);
        let reached = self.revision <= self.next && self.covered <= self.next;
        let ids: BTreeSet<_> = window.iter().map(|s| &s.id).collect();
        let unique = ids.len() == window.len() && window.len() <= VERDICT_WINDOW;
        rising && within && reached && unique
    }
}
