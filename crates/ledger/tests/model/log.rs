//! Log of the model. Each append gets one offset, and the oldest entries are trimmed.

use std::rc::Rc;

use pumicecleat_ledger::{OffsetRange, Record};
use pumicecleat_types::LogRecord;

/// Records of one append.
pub type Batch = Rc<Vec<Record>>;

/// Entry of the log. It stays here for the checks after it was trimmed.
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

    pub fn range(&self) -> OffsetRange {
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

    /// Entry that a reader at `next` gets; trimmed entries are skipped.
    pub fn read_from(&self, next: u64) -> Option<LogRecord> {
        let offset = next.max(self.first as u64);
        let entry = self.entries.get(usize::try_from(offset).unwrap())?;
        Some(LogRecord {
            offset,
            at: entry.at,
            data: Record::encode_batch(&entry.batch),
        })
    }

    /// Number of entries that are older than `log_retention` at `now`.
    pub fn expired(&self, now: u64, log_retention: u64) -> usize {
        self.entries
            .iter()
            .take_while(|e| e.at + log_retention <= now)
            .count()
    }
}
