//! Which entries were heard of lately.
//!
//! Entries share bounds without a word between them, and don't know how many they are. All of them talk
//! to each agent, which can tell.

use std::collections::BTreeMap;

use pumicecleat_types::{Millis, VmId};

/// Time for which an entry counts after it was heard of: as long as the window of 10 s over which the
/// deployments bound repeats.
const HEARD_SPAN: Millis = Millis(10_000);

/// Entries by VM, and when each was heard of.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    heard: BTreeMap<VmId, Millis>,
}

impl Entries {
    /// Notes that `entry` was heard of, and forgets those that were not for long.
    pub(crate) fn heard(&mut self, entry: &VmId, now: Millis) {
        if let Some(at) = self.heard.get_mut(entry) {
            *at = now;
        } else {
            self.heard.insert(entry.clone(), now);
        }
        self.heard.retain(|_, at| Self::counts(*at, now));
    }

    /// Entries that count at `now`.
    pub(crate) fn count(&self, now: Millis) -> u32 {
        let counted = self.heard.values().filter(|at| Self::counts(**at, now));
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }

    /// Whether what was heard at `at` still counts.
    pub(crate) fn counts(at: Millis, now: Millis) -> bool {
        now.since(at) < HEARD_SPAN
    }
}
