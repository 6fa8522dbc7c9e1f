//! A reader of the small world: the real fold and the driver's few variables, with the reader's
//! mutants.

use pumicecleat_config::{Fold, FoldEvent, GapError, Record, Snapshot, SnapshotProgress};
use pumicecleat_types::{LogRecord, encode};

use crate::world::Slip;

/// What a fold tells others: all but when the next snapshot is due.
pub fn fact(fold: &Fold) -> Snapshot {
    Snapshot {
        mark: SnapshotProgress::default(),
        ..fold.snapshot()
    }
}

#[derive(Clone, Debug)]
pub struct Reader {
    pub fold: Fold,
    /// Offset read next; ahead of the fold's behind a gap.
    pub cursor: u64,
    /// Offset that the fold last started from.
    pub origin: u64,
    /// Highest revision held so far.
    pub peak: u64,
    pub fact: Snapshot,
    /// All that tells this reader from others.
    pub key: Vec<u8>,
}

impl Reader {
    pub fn new() -> Self {
        let fold = Fold::new();
        let mut reader = Self {
            fact: fact(&fold),
            fold,
            cursor: 0,
            origin: 0,
            peak: 0,
            key: Vec::new(),
        };
        reader.note();
        reader
    }

    /// Reads one record of a log that begins at `first`.
    pub fn read(&mut self, record: &LogRecord, first: u64, slip: Slip) {
        let event = self.apply(record, slip);
        let next = self.fold.next();
        self.cursor = next.max(record.offset + 1);
        if let Ok(FoldEvent::Restored { .. }) = event {
            self.origin = next;
            self.cursor = next.max(first);
        }
        self.note();
    }

    /// Passes over what is no longer kept.
    pub fn skip(&mut self, first: u64) {
        self.cursor = first;
        self.note();
    }

    /// Takes a peer's snapshot in.
    pub fn adopt(&mut self, bytes: &[u8], first: u64) {
        if self.fold.next() == 0 {
            self.fold = Fold::from_snapshot(bytes).unwrap();
        } else {
            assert!(self.fold.adopt_snapshot(bytes).unwrap());
        }
        self.origin = self.fold.next();
        self.cursor = self.origin.max(first);
        self.note();
    }

    fn note(&mut self) {
        self.peak = self.peak.max(self.fold.revision());
        self.fact = fact(&self.fold);
        let numbers = [self.cursor, self.origin, self.peak];
        self.key = encode(&numbers);
        self.key.extend(self.fold.snapshot_bytes());
    }

    fn apply(&mut self, record: &LogRecord, slip: Slip) -> Result<FoldEvent, GapError> {
        if slip == Slip::None {
            return self.fold.apply(record);
        }
        let offset = record.offset;
        let gap = offset > self.fold.next();
        let mut record = record.clone();
        match (slip, Record::from_bytes(&record.data)) {
            (Slip::TakeSnapshots, Ok(Record::Snapshot(s))) => self.edit(|own| *own = *s),
            (Slip::AnyBase, Ok(Record::Change(mut change))) => {
                change.base = self.fold.revision();
                change.digest = self.fold.digest_after(&change.delta).unwrap();
                record.data = Record::Change(change).to_bytes();
            }
            (Slip::ForgetVerdicts, _) => self.edit(|s| s.window.clear()),
            (Slip::SkipGap, _) if gap => self.edit(|s| s.next = offset),
            (Slip::WakeAtEnd, _) => self.edit(|s| s.next = s.next.max(offset)),
            (Slip::GuessEmpty, _) if gap && self.fold.next() == 0 => {
                self.origin = offset;
                self.edit(|s| s.next = offset);
            }
            _ => {}
        }
        self.fold.apply(&record)
    }

    fn edit(&mut self, edit: impl FnOnce(&mut Snapshot)) {
        let mut snapshot = self.fold.snapshot();
        edit(&mut snapshot);
        self.fold = Fold::from_snapshot(&encode(&snapshot)).unwrap();
    }
}
