//! The last records of the configuration's stream, for those who don't read the log.

use std::collections::VecDeque;

use pumicecleat_types::LogRecord;

/// Records kept.
const RECORDS: usize = 4096;

/// Bytes kept.
const BYTES: usize = 2 << 20;

/// Records in one reply.
const REPLY_RECORDS: usize = 256;

/// Bytes in one reply.
const REPLY_BYTES: usize = 256 << 10;

/// Last records in a row, up to the one before `next`.
#[derive(Debug, Default)]
pub(super) struct Recent {
    records: VecDeque<LogRecord>,
    bytes: usize,
    next: u64,
}

impl Recent {
    /// Drops all and starts anew before offset `next`.
    pub(super) fn restart(&mut self, next: u64) {
        *self = Self {
            next,
            ..Self::default()
        };
    }

    /// Adds the record at `next`; another one starts anew behind it.
    pub(super) fn push(&mut self, record: &LogRecord) {
        if record.offset != self.next {
            self.restart(record.offset);
        }
        self.next = record.offset + 1;
        self.bytes += record.data.len();
        self.records.push_back(record.clone());
        while self.records.len() > RECORDS || self.bytes > BYTES {
            let Some(old) = self.records.pop_front() else {
                return;
            };
            self.bytes -= old.data.len();
        }
    }

    /// Records from offset `from` on, as many as fit a reply; `None` if `from` is no longer kept.
    pub(super) fn from(&self, from: u64) -> Option<Vec<LogRecord>> {
        if from >= self.next {
            return Some(Vec::new());
        }
        let first = self.records.front()?.offset;
        let skip = usize::try_from(from.checked_sub(first)?).ok()?;
        let mut bytes = 0;
        let fits = |record: &&LogRecord| {
            bytes += record.data.len();
            bytes <= REPLY_BYTES || record.offset == from
        };
        let kept = self.records.iter().skip(skip).take(REPLY_RECORDS);
        Some(kept.take_while(fits).cloned().collect())
    }

    /// Records kept now.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }
}
