//! Buffer of the latest records of the configuration stream, for processes that don't read the log.

use std::collections::VecDeque;

use pumicecleat_types::LogRecord;

const MAX_RECORDS: usize = 4096;

const MAX_BYTES: usize = 2 << 20;

const MAX_REPLY_RECORDS: usize = 256;

const MAX_REPLY_BYTES: usize = 256 << 10;

/// Latest consecutive records, up to the one before `next_offset`.
#[derive(Debug, Default)]
pub(super) struct RecentRecords {
    records: VecDeque<LogRecord>,
    bytes: usize,
    next_offset: u64,
}

impl RecentRecords {
    /// Drops all records; the next one is expected at `next_offset`.
    pub(super) fn restart(&mut self, next_offset: u64) {
        *self = Self {
            next_offset,
            ..Self::default()
        };
    }

    /// Adds a record. If it is not the one at `next_offset`, all earlier records are dropped.
    pub(super) fn push(&mut self, record: &LogRecord) {
        if record.offset != self.next_offset {
            self.restart(record.offset);
        }
        self.next_offset = record.offset + 1;
        self.bytes += record.data.len();
        self.records.push_back(record.clone());
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(old) = self.records.pop_front() else {
                return;
            };
            self.bytes -= old.data.len();
        }
    }

    /// Records from offset `from` on, as many as fit in a reply, or `None` if the record at `from`
    /// was dropped.
    pub(super) fn records_from(&self, from: u64) -> Option<Vec<LogRecord>> {
        if from >= self.next_offset {
            return Some(Vec::new());
        }
        let first = self.records.front()?.offset;
        let skip = usize::try_from(from.checked_sub(first)?).ok()?;
        let mut bytes = 0;
        let fits = |record: &&LogRecord| {
            bytes += record.data.len();
            bytes <= MAX_REPLY_BYTES || record.offset == from
        };
        let kept = self.records.iter().skip(skip).take(MAX_REPLY_RECORDS);
        Some(kept.take_while(fits).cloned().collect())
    }

    /// Number of buffered records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }
}
