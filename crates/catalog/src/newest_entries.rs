//! The newest entry read of each upstream.
//!
//! The store may carry out a write seconds after newer ones of the same upstream, if its answer was lost.
//! The record read last is an old one then, and must not bring back what the upstream said before.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pumicecleat_types::{Millis, ServiceId};

use crate::Upstream;

/// Time for which an entry counts as the newest though others are read after it. Writes are carried out
/// seconds late; an upstream whose entries stay behind for longer than that counts them anew.
const LATE: Millis = Millis(10_000);

/// Newest entries, by instance; those of the last seconds only.
#[derive(Clone, Debug, Default)]
pub(crate) struct Newest {
    entries: BTreeMap<String, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    service: ServiceId,
    address: SocketAddr,
    born: Option<u64>,
    sequence: u64,
    read: Millis,
    /// The upstream has left the list since.
    gone: bool,
}

impl Newest {
    /// Whether a newer entry of the same start of the same upstream was read before.
    pub(crate) fn is_newer_than(&self, upstream: &Upstream, now: Millis) -> bool {
        let known = self.entries.get(&upstream.instance);
        known.is_some_and(|known| now.since(known.read) <= LATE && known.is_newer_than(upstream))
    }

    /// Takes in an entry read at `now`.
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
            read: now,
            gone: false,
        };
        self.entries.insert(upstream.instance.clone(), entry);
    }

    /// The entry of `instance` was removed at `now`.
    pub(crate) fn removed(&mut self, instance: &str, now: Millis) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.gone = true;
            entry.read = now;
        }
    }

    /// Drops what has no say any more.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, e| now.since(e.read) <= LATE);
    }
}

impl Entry {
    fn is_newer_than(&self, upstream: &Upstream) -> bool {
        let place = (&upstream.service, upstream.address, upstream.born);
        let same = (&self.service, self.address, self.born) == place;
        let later = |sequence| self.sequence > sequence || (self.gone && self.sequence == sequence);
        same && upstream.sequence.is_some_and(later)
    }
}
