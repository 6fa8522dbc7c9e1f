//! What is known of one request.

use std::collections::BTreeMap;

use pumicecleat_types::{Millis, UpstreamEnd};

/// Most ends kept of one request; more tell nothing new.
const ENDS: usize = 16;

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    /// Ends by key, and whether the request was served since.
    ends: BTreeMap<u64, bool>,
    /// Last end, or the last time the request came.
    pub(super) last: Millis,
    /// Count of changes at which it last changed.
    pub(super) changed: u64,
}

impl Case {
    /// Ends that the request may have caused.
    pub(super) fn open(&self) -> usize {
        self.ends.values().filter(|cleared| !**cleared).count()
    }

    pub(super) fn keys(&self) -> Vec<u64> {
        let open = self.ends.iter().filter(|(_, cleared)| !**cleared);
        open.map(|(key, _)| *key).collect()
    }

    /// Takes an end in; gives whether it told something new.
    pub(super) fn take(&mut self, end: UpstreamEnd) -> bool {
        if self.ends.len() >= ENDS && !self.ends.contains_key(&end.key) {
            return false;
        }
        match self.ends.insert(end.key, end.cleared) {
            Some(true) => {
                self.ends.insert(end.key, true);
                false
            }
            Some(false) => end.cleared,
            None => true,
        }
    }

    /// The request was served; gives whether that told something new.
    pub(super) fn clear(&mut self) -> bool {
        let open = self.open() > 0;
        for cleared in self.ends.values_mut() {
            *cleared = true;
        }
        open
    }

    pub(super) fn words(&self) -> Vec<UpstreamEnd> {
        let word = |(key, cleared): (&u64, &bool)| UpstreamEnd {
            key: *key,
            cleared: *cleared,
        };
        self.ends.iter().map(word).collect()
    }
}
