//! Upstream ends that one request may have caused.

use std::collections::BTreeMap;

use pumicecleat_types::{Millis, UpstreamEnd};

/// Maximum number of ends stored for a request; further ones add no information.
const MAX_ENDS: usize = 16;

/// State of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    ends: BTreeMap<u64, UpstreamEnd>,
    /// Time of the last end or arrival of the request.
    pub(super) last_activity: Millis,
    /// Number of the table's change that last updated this state.
    pub(super) last_change: u64,
}

impl Suspect {
    /// Number of ends that the request may have caused.
    pub(super) fn open_ends(&self) -> usize {
        self.ends.values().filter(|end| !end.cleared).count()
    }

    /// Whether the request is known to have caused an end, because no other suspect was in progress there.
    pub(super) fn is_proven(&self) -> bool {
        self.ends.values().any(|end| end.alone && !end.cleared)
    }

    pub(super) fn open_end_keys(&self) -> Vec<u64> {
        let open = self.ends.values().filter(|end| !end.cleared);
        open.map(|end| end.key).collect()
    }

    /// Merges an end; returns whether this changed the state.
    pub(super) fn merge_end(&mut self, end: UpstreamEnd) -> bool {
        if self.ends.len() >= MAX_ENDS && !self.ends.contains_key(&end.key) {
            return false;
        }
        let Some(known) = self.ends.get_mut(&end.key) else {
            self.ends.insert(end.key, end);
            return true;
        };
        let before = *known;
        known.alone |= end.alone;
        known.cleared |= end.cleared;
        *known != before
    }

    /// Clears all ends, because the request was served; returns whether this changed the state.
    pub(super) fn clear(&mut self) -> bool {
        let open = self.open_ends() > 0;
        for end in self.ends.values_mut() {
            end.cleared = true;
        }
        open
    }

    pub(super) fn all_ends(&self) -> Vec<UpstreamEnd> {
        self.ends.values().copied().collect()
    }
}
