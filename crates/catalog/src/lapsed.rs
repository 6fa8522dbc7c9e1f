//! Upstreams whose entries are missing around an outage of the list and may return.
//!
//! While the list accepts no writes, the entries of live upstreams lapse too, so a missing entry does not
//! mean at once that its upstream is gone. If only this process was cut off, however, the list accepted
//! writes all the time and a missing upstream has left. The entries in the list tell the two cases apart: all
//! upstreams write equally often, so an upstream that has not returned while another one has written several
//! times is gone.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

/// Number of entries of one other upstream that prove that the list accepts writes. A live upstream has had
/// two full write intervals within that time.
const MIN_WRITES: u32 = 3;

/// Upstreams that may return, by instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct LapsedUpstreams {
    lapsed: BTreeMap<String, Lapse>,
}

#[derive(Clone, Debug)]
struct Lapse {
    deadline: Millis,
    /// Number of entries written since by each other instance.
    writes: BTreeMap<String, u32>,
}

impl LapsedUpstreams {
    /// Keeps `instance` until `deadline`.
    pub(crate) fn add(&mut self, instance: &str, deadline: Millis) {
        let writes = BTreeMap::new();
        self.lapsed
            .insert(instance.to_owned(), Lapse { deadline, writes });
    }

    /// Stops waiting for `instance`. Returns whether its entry was missing.
    pub(crate) fn remove(&mut self, instance: &str) -> bool {
        self.lapsed.remove(instance).is_some()
    }

    /// Notes that an entry of `writer` was read at `now`, which shows that the list accepts writes.
    pub(crate) fn note_write(&mut self, writer: &str, now: Millis) {
        for (instance, lapse) in &mut self.lapsed {
            if instance != writer {
                lapse.note_write(writer, now);
            }
        }
    }

    /// Returns the instances that did not return in time.
    pub(crate) fn expired(&self, now: Millis) -> Vec<String> {
        let expired = self
            .lapsed
            .iter()
            .filter(|(_, lapse)| lapse.deadline <= now);
        expired.map(|(instance, _)| instance.clone()).collect()
    }
}

impl Lapse {
    fn note_write(&mut self, writer: &str, now: Millis) {
        let count = self.writes.entry(writer.to_owned()).or_default();
        *count += 1;
        if *count >= MIN_WRITES {
            self.deadline = self.deadline.min(now);
        }
    }
}
