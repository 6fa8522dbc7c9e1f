//! Readers of a log: in order or with repeats, from its start, a trimmed log or a peer.

use pumicecleat_config::{Fold, FoldEvent, GapError, Record, SnapshotScan};
use pumicecleat_types::{LogRecord, encode};

use crate::naive::Naive;

/// How a reader treats what it gets; the last three are broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// As the fold says.
    Sound,
    /// As the fold says, with snapshots read item by item.
    Sliced,
    /// Takes every snapshot at its word.
    TakeSnapshots,
    /// Passes over gaps.
    SkipGaps,
    /// Takes records in again that it has seen.
    Reread,
}

/// Reader.
pub struct Reader {
    pub fold: Fold,
    kind: Kind,
}

impl Reader {
    pub fn new(kind: Kind) -> Self {
        let fold = Fold::new();
        Self { fold, kind }
    }

    /// Takes a record in; fails if the revision steps back.
    pub fn apply(&mut self, record: &LogRecord) -> Result<FoldEvent, GapError> {
        let before = (self.fold.revision(), self.fold.next());
        let event = self.apply_as(record);
        if matches!(self.kind, Kind::Sound | Kind::Sliced) {
            assert!(before <= (self.fold.revision(), self.fold.next()));
        }
        event
    }

    fn apply_as(&mut self, record: &LogRecord) -> Result<FoldEvent, GapError> {
        let next = self.fold.next();
        let moved = LogRecord {
            offset: next,
            ..record.clone()
        };
        if self.kind == Kind::Sliced
            && let Some(mut scan) = SnapshotScan::open(&record.data)
        {
            while scan.step(1) {}
            return self.fold.apply_scanned(record, scan);
        }
        match (self.kind, Record::from_bytes(&record.data)) {
            (Kind::TakeSnapshots, Ok(Record::Snapshot(s))) => {
                if let Ok(fold) = Fold::from_snapshot(&encode(&s)) {
                    self.fold = fold;
                }
                Ok(FoldEvent::AlreadyApplied)
            }
            (Kind::SkipGaps, _) if record.offset > next => self.fold.apply(&moved),
            (Kind::Reread, _) if record.offset < next => self.fold.apply(&moved),
            _ => self.fold.apply(record),
        }
    }

    /// Reads a log that begins at `first`, going back where the fold wants it.
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

    /// What differs from the naive state, if anything does.
    pub fn differs(&self, naive: &Naive) -> Option<String> {
        let fold = &self.fold;
        let mine = (fold.revision(), fold.next(), fold.config());
        let other = (naive.revision, naive.next, &naive.config);
        if mine != other {
            return Some(format!("{mine:?} is not {other:?}"));
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
