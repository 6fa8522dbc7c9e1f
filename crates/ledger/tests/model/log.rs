//! Log of the small world: one append, one offset; the oldest entries are trimmed.

use std::rc::Rc;

use pumicecleat_ledger::{OffsetRange, Record};
use pumicecleat_types::LogRecord;

/// Records on their way to the log, in one append.
pub type Batch = Rc<Vec<Record>>;

/// Entry of the log, kept here also after it was trimmed, for the checks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub at: u64,
    pub batch: Batch,
}

/// Log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    pub entries: Vec<Entry>,
    pub first: usize,
    pub up: bool,
}

impl Log {
    pub fn new() -> Self {
        Self {
            entries: Vec::new(),
            first: 0,
            up: true,
        }
    }

    pub fn span(&self) -> OffsetRange {
        OffsetRange {
            first: self.first as u64,
            end: self.end(),
        }
    }

    pub fn end(&self) -> u64 {
        self.entries.len() as u64
    }

    pub fn append(&mut self, at: u64, batch: Batch) {
        self.entries.push(Entry { at, batch });
    }

    /// Entry that a reader at `next` gets, past what was trimmed.
    pub fn after(&self, next: u64) -> Option<LogRecord> {
        let offset = next.max(self.first as u64);
        let entry = self.entries.get(usize::try_from(offset).unwrap())?;
        Some(LogRecord {
            offset,
            at: entry.at,
            data: Record::encode_batch(&entry.batch),
        })
    }

    /// Entries older than `kept` at `now`.
    pub fn old(&self, now: u64, kept: u64) -> usize {
        self.entries
            .iter()
            .take_while(|e| e.at + kept <= now)
            .count()
    }
}
