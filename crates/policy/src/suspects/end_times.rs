//! Times of upstream ends, by which simultaneous ends are found.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::Millis;

/// Ends within this time of each other may have one external cause, such as a loss of power.
pub(super) const SIMULTANEOUS_SPAN: Millis = Millis(100);

/// Times of all ends that are known, in the table's time.
#[derive(Clone, Debug, Default)]
pub(super) struct EndTimes {
    times: BTreeMap<u64, Millis>,
    by_time: BTreeSet<(Millis, u64)>,
}

impl EndTimes {
    /// Adds an end; of several times of one end the earliest counts.
    pub(super) fn add(&mut self, key: u64, at: Millis) {
        let known = self.times.get(&key).copied();
        if known.is_some_and(|known| known <= at) {
            return;
        }
        if let Some(known) = known {
            self.by_time.remove(&(known, key));
        }
        self.times.insert(key, at);
        self.by_time.insert((at, key));
    }

    /// Keys of the ends that were simultaneous with one at `at`, itself included.
    pub(super) fn simultaneous(&self, at: Millis) -> impl Iterator<Item = u64> {
        let from = (at - SIMULTANEOUS_SPAN, 0);
        let to = (at + SIMULTANEOUS_SPAN, u64::MAX);
        self.by_time.range(from..=to).map(|(_, key)| *key)
    }

    /// Removes the ends before `from`.
    pub(super) fn prune(&mut self, from: Millis) {
        while let Some((at, key)) = self.by_time.first().copied()
            && at < from
        {
            self.by_time.pop_first();
            self.times.remove(&key);
        }
    }
}
