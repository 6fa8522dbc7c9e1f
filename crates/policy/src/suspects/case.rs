//! What is known of one request.

use std::collections::BTreeMap;

use pumicecleat_types::{Millis, UpstreamEnd};

/// Most ends kept of one request; more tell nothing new.
const ENDS: usize = 16;

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    ends: BTreeMap<u64, UpstreamEnd>,
    /// Last end, or the last time the request came.
    pub(super) last: Millis,
    /// Count of changes at which it last changed.
    pub(super) changed: u64,
}

impl Case {
    /// Ends that the request may have caused.
    pub(super) fn open(&self) -> usize {
        self.ends.values().filter(|end| !end.cleared).count()
    }

    /// Whether the request caused one of them: no other suspect was there.
    pub(super) fn is_proven(&self) -> bool {
        self.ends.values().any(|end| end.alone && !end.cleared)
    }

    pub(super) fn keys(&self) -> Vec<u64> {
        let open = self.ends.values().filter(|end| !end.cleared);
        open.map(|end| end.key).collect()
    }

    /// Takes an end in; gives whether it told something new.
    pub(super) fn take(&mut self, end: UpstreamEnd) -> bool {
        if self.ends.len() >= ENDS && !self.ends.contains_key(&end.key) {
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

    /// The request was served; gives whether that told something new.
    pub(super) fn clear(&mut self) -> bool {
        let open = self.open() > 0;
        for end in self.ends.values_mut() {
            end.cleared = true;
        }
        open
    }

    pub(super) fn words(&self) -> Vec<UpstreamEnd> {
        self.ends.values().copied().collect()
    }
}
