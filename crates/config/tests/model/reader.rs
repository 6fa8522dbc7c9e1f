//! Reader of the model: the real fold, the variables of its driver, and the reader's mutants.

use pumicecleat_config::{Fold, FoldEvent, GapError, Record, Snapshot, SnapshotProgress};
use pumicecleat_types::{LogRecord, encode};

use crate::world::Defect;

/// State of a fold without the progress towards the next snapshot.
pub fn visible_state(fold: &Fold) -> Snapshot {
    Snapshot {
        mark: SnapshotProgress::default(),
        ..fold.snapshot()
    }
}

#[derive(Clone, Debug)]
pub struct Reader {
    pub fold: Fold,
    /// Offset to read next; ahead of the fold's at a gap.
    pub cursor: u64,
    /// Offset at which the fold last started from a snapshot.
    pub started_at: u64,
    /// Highest revision so far.
    pub max_revision: u64,
    pub visible_state: Snapshot,
    /// Encoding of the reader's whole state.
    pub key: Vec<u8>,
}

impl Reader {
    pub fn new() -> Self {
        let fold = Fold::new();
        let mut reader = Self {
            visible_state: visible_state(&fold),
            fold,
            cursor: 0,
            started_at: 0,
            max_revision: 0,
            key: Vec::new(),
        };
        reader.update();
        reader
    }

    /// Reads one record of a log that begins at `first`.
    pub fn read(&mut self, record: &LogRecord, first: u64, defect: Defect) {
        let event = self.apply(record, defect);
        let next = self.fold.next();
        self.cursor = next.max(record.offset + 1);
        if let Ok(FoldEvent::Restored { .. }) = event {
            self.started_at = next;
            self.cursor = next.max(first);
        }
        self.update();
    }

    /// Skips records that were trimmed.
    pub fn skip(&mut self, first: u64) {
        self.cursor = first;
        self.update();
    }

    /// Adopts a peer's snapshot.
    pub fn adopt(&mut self, bytes: &[u8], first: u64) {
        if self.fold.next() == 0 {
            self.fold = Fold::from_snapshot(bytes).unwrap();
        } else {
            assert!(self.fold.adopt_snapshot(bytes).unwrap());
        }
        self.started_at = self.fold.next();
        self.cursor = self.started_at.max(first);
        self.update();
    }

    fn update(&mut self) {
        self.max_revision = self.max_revision.max(self.fold.revision());
        self.visible_state = visible_state(&self.fold);
        let numbers = [self.cursor, self.started_at, self.max_revision];
        self.key = encode(&numbers);
        self.key.extend(self.fold.snapshot_bytes());
    }

    fn apply(&mut self, record: &LogRecord, defect: Defect) -> Result<FoldEvent, GapError> {
        if defect == Defect::None {
            return self.fold.apply(record);
        }
        let offset = record.offset;
        let gap = offset > self.fold.next();
        let mut record = record.clone();
        match (defect, Record::from_bytes(&record.data)) {
            (Defect::TakeSnapshots, Ok(Record::Snapshot(s))) => self.edit(|own| *own = *s),
            (Defect::AnyBase, Ok(Record::Change(mut change))) => {
                change.base = self.fold.revision();
                change.digest = self.fold.digest_after(&change.delta).unwrap();
                record.data = Record::Change(change).to_bytes();
            }
            (Defect::ForgetVerdicts, _) => self.edit(|s| s.window.clear()),
            (Defect::SkipGap, _) if gap => self.edit(|s| s.next = offset),
            (Defect::WakeAtEnd, _) => self.edit(|s| s.next = s.next.max(offset)),
            (Defect::GuessEmpty, _) if gap && self.fold.next() == 0 => {
                self.started_at = offset;
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
