//! One stream: its records kept, and the wait for the next.

use std::collections::VecDeque;

use crate::serve::Change;

use super::message::Record;

/// A stream.
#[derive(Default)]
pub(crate) struct Stream {
    records: VecDeque<Record>,
    first: u64,
    next: u64,
    /// Notified at each append.
    pub(crate) grown: Change,
}

impl Stream {
    /// Oldest offset kept.
    pub(crate) fn first(&self) -> u64 {
        self.first
    }

    /// Next free offset.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Adds `records` in a row and gives the offset of the first.
    pub(crate) fn append(&mut self, records: Vec<Vec<u8>>, at: u64) -> u64 {
        let first = self.next;
        for data in records {
            let offset = self.next;
            self.records.push_back(Record { offset, at, data });
            self.next += 1;
        }
        self.grown.notify();
        first
    }

    /// At most `max` records from `from` on.
    pub(crate) fn read(&self, from: u64, max: usize) -> Vec<Record> {
        let skip = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        self.records.iter().skip(skip).take(max).cloned().collect()
    }

    /// Drops records before `offset`.
    pub(crate) fn trim_before(&mut self, offset: u64) {
        while self.first < offset.min(self.next) {
            self.drop_first();
        }
    }

    /// Drops all but the newest `count` records.
    pub(crate) fn trim_to(&mut self, count: u64) {
        self.trim_before(self.next.saturating_sub(count));
    }

    /// Drops records appended before `at`.
    pub(crate) fn trim_older(&mut self, at: u64) {
        while self.records.front().is_some_and(|r| r.at < at) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        self.records.pop_front();
        self.first += 1;
    }
}
