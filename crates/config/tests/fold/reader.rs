//! Log readers: in order or with repeats, from the start of the log, a trimmed log or a peer.

use pumicecleat_config::{Fold, FoldEvent, GapError, Record, SnapshotScan};
use pumicecleat_types::{LogRecord, encode};

use crate::naive::Naive;

/// How a reader handles records; the last three are incorrect on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderKind {
    /// Applies records to the fold.
    Correct,
    /// Same, with snapshots scanned item by item.
    Scanned,
    /// Accepts every snapshot without a check.
    TakeSnapshots,
    /// Ignores gaps.
    SkipGaps,
    /// Applies records again that it has applied before.
    Reread,
}

pub struct Reader {
    pub fold: Fold,
    kind: ReaderKind,
}

impl Reader {
    pub fn new(kind: ReaderKind) -> Self {
        let fold = Fold::new();
        Self { fold, kind }
    }

    /// Applies a record; panics if the revision decreases.
    pub fn apply(&mut self, record: &LogRecord) -> Result<FoldEvent, GapError> {
        let before = (self.fold.revision(), self.fold.next());
        let event = self.apply_by_kind(record);
        if matches!(self.kind, ReaderKind::Correct | ReaderKind::Scanned) {
            assert!(before <= (self.fold.revision(), self.fold.next()));
        }
        event
    }

    fn apply_by_kind(&mut self, record: &LogRecord) -> Result<FoldEvent, GapError> {
        let next = self.fold.next();
        let renumbered = LogRecord {
            offset: next,
            ..record.clone()
        };
        if self.kind == ReaderKind::Scanned
            && let Some(mut scan) = SnapshotScan::open(&record.data)
        {
            while scan.step(1) {}
            return self.fold.apply_scanned(record, scan);
        }
        match (self.kind, Record::from_bytes(&record.data)) {
            (ReaderKind::TakeSnapshots, Ok(Record::Snapshot(s))) => {
                if let Ok(fold) = Fold::from_snapshot(&encode(&s)) {
                    self.fold = fold;
                }
                Ok(FoldEvent::AlreadyApplied)
            }
            (ReaderKind::SkipGaps, _) if record.offset > next => self.fold.apply(&renumbered),
            (ReaderKind::Reread, _) if record.offset < next => self.fold.apply(&renumbered),
            _ => self.fold.apply(record),
        }
    }

    /// Reads a log that begins at `first`, going back if the fold requires it.
    pub fn read(&mut self, log: &[LogRecord], first: usize) {
        let mut at = first;
        while let Some(record) = log.get(at) {
            at += 1;
            let before = self.fold.next();
            if let Ok(FoldEvent::Restored { .. }) = self.apply(record) {
                assert!(self.fold.next() > before, "would read for ever");
                at = first.max(usize::try_from(self.fold.next()).unwrap());
            }
        }
    }

    /// Describes a difference from the naive state, if there is one.
    pub fn difference(&self, naive: &Naive) -> Option<String> {
        let fold = &self.fold;
        let actual = (fold.revision(), fold.next(), fold.config());
        let expected = (naive.revision, naive.next, &naive.config);
        if actual != expected {
            return Some(format!("{actual:?} is not {expected:?}"));
        }
        if fold.digest() != pumicecleat_config::digest(&naive.config) {
            return Some("digest".to_owned());
        }
        naive.settled.iter().find_map(|(id, (_, verdict))| {
            let found = fold.verdict(id);
            let same = found == Some(verdict);
            (!same).then(|| format!("{id}: {found:?} is not {verdict:?}"))
        })
    }
}
