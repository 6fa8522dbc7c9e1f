//! Upstream ends that one suspect may have caused.

use std::collections::BTreeMap;

use pumicecleat_types::{Millis, UpstreamEnd};

use super::end_times::SIMULTANEOUS_SPAN;

/// Maximum number of ends stored for a suspect. Ends in its trials and the latest ends are kept.
const MAX_ENDS: usize = 16;

/// Added to the process's own time, so that ends of before its start have times as well.
pub(super) const TIME_OFFSET: Millis = Millis(86_400_000);

/// End of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub(super) at: Millis,
    /// No other suspect was in progress there.
    pub(super) alone: bool,
    /// The suspect has been served since.
    pub(super) cleared: bool,
}

impl End {
    pub(super) fn received(end: &UpstreamEnd, now: Millis) -> Self {
        Self {
            at: now + TIME_OFFSET - Millis(end.age_ms),
            alone: end.alone,
            cleared: end.cleared,
        }
    }
}

/// State of one suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    ends: BTreeMap<u64, End>,
    /// Time of the last end or arrival of the suspect.
    pub(super) last_activity: Millis,
    /// Number of the table's change that last updated this state.
    pub(super) last_change: u64,
}

impl Suspect {
    /// Ends that the suspect may have caused, with their keys.
    pub(super) fn open_ends(&self) -> impl Iterator<Item = (u64, &End)> {
        let open = self.ends.iter().filter(|(_, end)| !end.cleared);
        open.map(|(key, end)| (*key, end))
    }

    pub(super) fn open_count(&self) -> usize {
        self.open_ends().count()
    }

    pub(super) fn time_since_last_end(&self, now: Millis) -> Millis {
        let last = self.open_ends().map(|(_, end)| end.at).max();
        (now + TIME_OFFSET).since(last.unwrap_or_default())
    }

    /// Whether the suspect was in progress at the upstream whose end has this key, and may have caused it.
    pub(super) fn may_have_caused(&self, key: u64) -> bool {
        self.ends.get(&key).is_some_and(|end| !end.cleared)
    }

    /// Whether that end came in a trial of the suspect, and the suspect may have caused it.
    pub(super) fn was_tried(&self, key: u64) -> bool {
        let end = self.ends.get(&key);
        end.is_some_and(|end| end.alone && !end.cleared)
    }

    /// Number of ends in trials of the suspect that it may have caused.
    pub(super) fn tried_count(&self) -> usize {
        self.open_ends().filter(|(_, end)| end.alone).count()
    }

    pub(super) fn was_present(&self, key: u64) -> bool {
        self.ends.contains_key(&key)
    }

    /// Merges an end; returns whether this changed the state.
    pub(super) fn merge_end(&mut self, key: u64, end: End) -> bool {
        if !self.ends.contains_key(&key) && !self.make_room(&end) {
            return false;
        }
        let Some(known) = self.ends.get_mut(&key) else {
            self.ends.insert(key, end);
            return true;
        };
        let before = (known.alone, known.cleared);
        known.at = known.at.min(end.at);
        known.alone |= end.alone;
        known.cleared |= end.cleared;
        (known.alone, known.cleared) != before
    }

    /// Removes the least important end if necessary; returns whether `end` may be stored.
    fn make_room(&mut self, end: &End) -> bool {
        if self.ends.len() < MAX_ENDS {
            return true;
        }
        let rank = |e: &End| (e.alone && !e.cleared, e.at);
        let least = self.ends.iter().min_by_key(|(_, e)| rank(e));
        let replaced = least.filter(|(_, e)| rank(e) < rank(end));
        let replaced = replaced.map(|(key, _)| *key);
        replaced.is_some_and(|key| self.ends.remove(&key).is_some())
    }

    /// Clears all ends, because the suspect was served; returns whether this changed the state.
    pub(super) fn clear(&mut self) -> bool {
        let open = self.open_count() > 0;
        for end in self.ends.values_mut() {
            end.cleared = true;
        }
        open
    }

    pub(super) fn all_ends(&self, now: Millis) -> Vec<UpstreamEnd> {
        let ends = self.ends.iter().map(|(key, end)| UpstreamEnd {
            key: *key,
            alone: end.alone,
            cleared: end.cleared,
            age_ms: (now + TIME_OFFSET).since(end.at).0,
        });
        ends.collect()
    }
}

/// First end of each group of ends that are within [`SIMULTANEOUS_SPAN`] of it.
pub(super) fn first_of_each_group(mut ends: Vec<(Millis, u64)>) -> Vec<u64> {
    ends.sort_unstable();
    let mut group_start = None;
    ends.retain(|(at, _)| {
        let is_first = group_start.is_none_or(|start| at.since(start) > SIMULTANEOUS_SPAN);
        if is_first {
            group_start = Some(*at);
        }
        is_first
    });
    ends.into_iter().map(|(_, key)| key).collect()
}
