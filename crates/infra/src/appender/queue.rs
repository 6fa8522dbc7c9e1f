//! Queue of submitted records, in order of submission.

use std::collections::BTreeMap;

use async_channel::Sender;

use super::{AppendOptions, AppendedRecord, SubmitError};

/// Outcome of a submitted record.
pub(super) type Outcome = Result<AppendedRecord, SubmitError>;

/// Record that is queued or in flight.
pub(super) struct Entry {
    pub(super) record: Vec<u8>,
    pub(super) reply: Sender<Outcome>,
    /// Number of times that it returned to the queue after pushback.
    pub(super) retries: u32,
}

/// Entries of one append, by id.
pub(super) type EntryBatch = BTreeMap<u64, Entry>;

pub(super) struct Queue {
    next_id: u64,
    limit: usize,
    entries: BTreeMap<u64, Entry>,
}

impl Queue {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            next_id: 0,
            limit,
            entries: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Queues the record and returns its id, unless the queue is full.
    pub(super) fn push(
        &mut self,
        record: Vec<u8>,
        reply: Sender<Outcome>,
    ) -> Result<u64, SubmitError> {
        let limit = self.limit;
        if self.entries.len() >= limit {
            return Err(SubmitError::Full { limit });
        }
        let id = self.next_id;
        self.next_id += 1;
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

    /// Removes the first records that fit into one append.
    pub(super) fn take_batch(&mut self, options: &AppendOptions) -> EntryBatch {
        let mut batch = EntryBatch::new();
        let mut bytes = 0;
        while let Some(first) = self.entries.first_entry() {
            bytes += first.get().record.len();
            let full = batch.len() >= options.records || bytes > options.bytes;
            if full && !batch.is_empty() {
                break;
            }
            let (id, entry) = first.remove_entry();
            batch.insert(id, entry);
        }
        batch
    }

    /// Returns a record to its former position, unless its submitter has cancelled.
    pub(super) fn requeue(&mut self, id: u64, mut entry: Entry) {
        if entry.reply.is_closed() {
            return;
        }
        entry.retries += 1;
        self.entries.insert(id, entry);
    }
}
