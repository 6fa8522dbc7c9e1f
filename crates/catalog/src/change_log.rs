//! Recent changes of one stream, kept for processes that do not read the stream themselves.

use std::collections::VecDeque;

use pumicecleat_infra::KeyedRecord;
use pumicecleat_types::{ChangedRecord, Position, StreamChanges};

/// Maximum size of the values kept. Several configurations of a large deployment, or entries of thousands of
/// upstreams.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Changes of a stream between two positions.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Position from which on the changes are complete.
    start: Position,
    end: Position,
    records: VecDeque<ChangedRecord>,
    value_bytes: usize,
}

impl ChangeLog {
    /// Adds the records that changed something between `from` and `to`. Changes before a gap are discarded.
    pub(crate) fn extend(&mut self, from: Position, to: Position, changed: &[KeyedRecord]) {
        if from != self.end {
            *self = Self {
                start: from,
                end: from,
                ..Self::default()
            };
        }
        for record in changed {
            self.value_bytes += value_len(record.value.as_ref());
            self.records.push_back(ChangedRecord {
                key: record.key.clone(),
                value: record.value.clone(),
                offset: record.offset,
            });
        }
        self.end = to;
        self.trim();
    }

    /// Discards all changes before `position`, at which the state of the stream is known by other means.
    pub(crate) fn restart(&mut self, position: Position) {
        *self = Self {
            start: position,
            end: position,
            ..Self::default()
        };
    }

    /// Returns the changes since `position`; `None` if there are none, or not all of them are kept.
    pub(crate) fn since(&self, position: Position) -> Option<StreamChanges> {
        let is_covered =
            position.era == self.end.era && self.start <= position && position < self.end;
        if !is_covered {
            return None;
        }
        let first = self.records.partition_point(|r| r.offset < position.offset);
        let records: Vec<ChangedRecord> = self.records.range(first..).cloned().collect();
        (!records.is_empty()).then_some(StreamChanges {
            from: position,
            to: self.end,
            records,
        })
    }

    fn trim(&mut self) {
        while self.value_bytes > MAX_VALUE_BYTES
            && let Some(oldest) = self.records.pop_front()
        {
            self.value_bytes -= value_len(oldest.value.as_ref());
            self.start.offset = oldest.offset + 1;
        }
    }
}

fn value_len(value: Option<&Vec<u8>>) -> usize {
    value.map_or(0, Vec::len)
}
