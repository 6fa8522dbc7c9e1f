//! Newest entry of each upstream, for rejecting outdated entries.
//!
//! If the response to a write is lost, the store may execute the write seconds after newer writes of the same
//! upstream. The last record read is then outdated and must not restore the upstream's earlier state.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pumicecleat_types::{Millis, ServiceId};

use crate::Upstream;

/// Time for which older entries that are read after the newest one are rejected. Delayed writes are executed
/// within seconds; an upstream whose sequence numbers stay behind for longer has restarted its count.
const MAX_WRITE_DELAY: Millis = Millis(10_000);

/// Newest entries of the last seconds, by instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct NewestEntries {
    entries: BTreeMap<String, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    service: ServiceId,
    address: SocketAddr,
    born: Option<u64>,
    sequence: u64,
    updated_at: Millis,
    /// Whether the entry was removed from the list afterwards.
    is_removed: bool,
}

impl NewestEntries {
    /// Returns whether a newer entry from the same start of the same upstream was read before.
    pub(crate) fn is_newer_than(&self, upstream: &Upstream, now: Millis) -> bool {
        let known = self.entries.get(&upstream.instance);
        known.is_some_and(|known| {
            now.since(known.updated_at) <= MAX_WRITE_DELAY && known.is_newer_than(upstream)
        })
    }

    /// Notes an entry read at `now`. An entry without a sequence number can't be compared.
    pub(crate) fn note(&mut self, upstream: &Upstream, now: Millis) {
        let Some(sequence) = upstream.sequence else {
            self.entries.remove(&upstream.instance);
            return;
        };
        let entry = Entry {
            service: upstream.service.clone(),
            address: upstream.address,
            born: upstream.born,
            sequence,
            updated_at: now,
            is_removed: false,
        };
        self.entries.insert(upstream.instance.clone(), entry);
    }

    /// Notes that the entry of `instance` was removed at `now`.
    pub(crate) fn note_removal(&mut self, instance: &str, now: Millis) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.is_removed = true;
            entry.updated_at = now;
        }
    }

    /// Drops entries that are too old to reject others.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|_, e| now.since(e.updated_at) <= MAX_WRITE_DELAY);
    }
}

impl Entry {
    fn is_newer_than(&self, upstream: &Upstream) -> bool {
        let source = (&upstream.service, upstream.address, upstream.born);
        let same_start = (&self.service, self.address, self.born) == source;
        let later =
            |sequence| self.sequence > sequence || (self.is_removed && self.sequence == sequence);
        same_start && upstream.sequence.is_some_and(later)
    }
}
