//! Records that wait, in the order in which they came.

use std::collections::BTreeMap;

use async_channel::Sender;

use super::{AppendOptions, AppendedRecord, SubmitError};

/// What became of a record.
pub(super) type Outcome = Result<AppendedRecord, SubmitError>;

/// A record that waits or is in flight.
pub(super) struct Entry {
    pub(super) record: Vec<u8>,
    pub(super) reply: Sender<Outcome>,
    /// Times that it came back after pushback.
    pub(super) retries: u32,
}

/// Entries of one append, by place.
pub(super) type Taken = BTreeMap<u64, Entry>;

pub(super) struct Queue {
    next: u64,
    limit: usize,
    entries: BTreeMap<u64, Entry>,
}

impl Queue {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            next: 0,
            limit,
            entries: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Place of the record, unless too many wait.
    pub(super) fn push(
        &mut self,
        record: Vec<u8>,
        reply: Sender<Outcome>,
    ) -> Result<u64, SubmitError> {
        let limit = self.limit;
        if self.entries.len() >= limit {
            return Err(SubmitError::Full { limit });
        }
        let id = self.next;
        self.next += 1;
        let entry = Entry {
            record,
            reply,
            retries: 0,
        };
        self.entries.insert(id, entry);
        Ok(id)
    }

    pub(super) fn withdraw(&mut self, id: u64) {
        self.entries.remove(&id);
    }

    /// Takes the first records that fit one append.
    pub(super) fn take(&mut self, options: &AppendOptions) -> Taken {
        let mut taken = Taken::new();
        let mut bytes = 0;
        while let Some(first) = self.entries.first_entry() {
            bytes += first.get().record.len();
            let full = taken.len() >= options.records || bytes > options.bytes;
            if full && !taken.is_empty() {
                break;
            }
            let (id, entry) = first.remove_entry();
            taken.insert(id, entry);
        }
        taken
    }

    /// Puts a record back in its place, unless its submitter left.
    pub(super) fn put_back(&mut self, id: u64, mut entry: Entry) {
        if entry.reply.is_closed() {
            return;
        }
        entry.retries += 1;
        self.entries.insert(id, entry);
    }
}
