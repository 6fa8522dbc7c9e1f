//! Upstreams whose entries are missing around an outage of the list, and may come back.
//!
//! While the list takes no entries, those of upstreams that live lapse too, so one that is missing then is
//! not taken for gone at once. But this process may be the only one that was cut off: the list took entries
//! all the while, and what is missing has left. The list itself tells which it was. Each upstream writes as
//! often as the others, so one that has not come back while another wrote again and again is gone.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

/// Entries of one other upstream that show that the list takes them: an upstream that lives has had two
/// whole turns between them.
const WRITES: u32 = 3;

/// Upstreams that may come back, by instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lapsed {
    waits: BTreeMap<String, Wait>,
}

#[derive(Clone, Debug)]
struct Wait {
    end: Millis,
    /// Entries that others wrote since, by instance.
    writes: BTreeMap<String, u32>,
}

impl Lapsed {
    /// Waits for `instance` until `end`.
    pub(crate) fn add(&mut self, instance: &str, end: Millis) {
        let writes = BTreeMap::new();
        self.waits.insert(instance.to_owned(), Wait { end, writes });
    }

    /// Waits for `instance` no more.
    pub(crate) fn remove(&mut self, instance: &str) {
        self.waits.remove(instance);
    }

    /// An entry of `other` was read at `now`: the list takes entries.
    pub(crate) fn written(&mut self, other: &str, now: Millis) {
        for (instance, wait) in &mut self.waits {
            if instance != other {
                wait.written(other, now);
            }
        }
    }

    /// Instances that did not come back in time.
    pub(crate) fn due(&self, now: Millis) -> Vec<String> {
        let due = self.waits.iter().filter(|(_, wait)| wait.end <= now);
        due.map(|(instance, _)| instance.clone()).collect()
    }
}

impl Wait {
    fn written(&mut self, other: &str, now: Millis) {
        let count = self.writes.entry(other.to_owned()).or_default();
        *count += 1;
        if *count >= WRITES {
            self.end = self.end.min(now);
        }
    }
}
