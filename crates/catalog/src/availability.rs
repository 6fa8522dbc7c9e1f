//! Availability of the list of upstreams, as seen by all processes.
//!
//! When its own reads fail, a process can't tell an outage of the list from a network partition that affects
//! only itself. Reads that other processes completed in the meantime make the difference.

use pumicecleat_types::Millis;

use crate::complete_read::CompleteRead;

/// Complete reads of the list by this process and others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Availability {
    /// Time of the first read after the last gap that was longer than the longest interval between reads.
    since: Millis,
    last: CompleteRead,
    /// Time of the last read by another process.
    last_by_other: Option<Millis>,
}

impl Availability {
    /// Starts with `read`; `by_other` if another process completed it.
    pub(crate) fn new(read: CompleteRead, by_other: bool) -> Self {
        Self {
            since: read.as_of,
            last: read,
            last_by_other: by_other.then_some(read.as_of),
        }
    }

    /// Adds a read. A gap longer than `max_interval`, the longest interval between two reads by any process,
    /// counts as an outage.
    pub(crate) fn note_read(&mut self, read: CompleteRead, by_other: bool, max_interval: Millis) {
        if read.end <= self.last.end {
            self.last = self.last.merge(read);
            return;
        }
        if read.as_of.since(self.last.as_of) > max_interval {
            self.since = read.as_of;
        }
        self.last = read;
        if by_other {
            self.last_by_other = Some(read.as_of);
        }
    }

    /// Returns the time since which the list has been available without a gap, if another process has read
    /// it after `down_since` and some process has read it within `max_interval`.
    pub(crate) fn available_since(
        &self,
        down_since: Millis,
        now: Millis,
        max_interval: Millis,
    ) -> Option<Millis> {
        let read_by_other = self.last_by_other.is_some_and(|at| at >= down_since);
        let recent = now.since(self.last.as_of) <= max_interval;
        (read_by_other && recent).then_some(self.since)
    }
}
