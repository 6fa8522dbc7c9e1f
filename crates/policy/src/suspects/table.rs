//! Suspects that one process knows.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::{
    ChangeCursor, Millis, SuspectKey, SuspectKind, SuspectNews, SuspectReport, UpstreamEnd,
};

use super::end_times::EndTimes;
use super::min_ends;
use super::suspect::{End, Suspect, TIME_OFFSET, first_of_each_group};

/// Time for which a suspect is stored after its last end or arrival. Longer than callers retry a request, and
/// than a rollout to all upstreams takes.
pub(super) const SUSPECT_TTL: Millis = Millis(600_000);

/// Maximum number of suspects stored, at about 250 bytes each and 1 MB in total. Those with the fewest ends
/// are evicted first, and among these the least recently changed.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of suspects in a message.
const MAX_MESSAGE_RECORDS: usize = 128;

/// Minimum interval between removals of expired requests.
const PRUNE_INTERVAL: Millis = Millis(10_000);

/// Suspects, and the ends that they may have caused.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    /// ID of this start of the process, and number of changes since.
    revision: ChangeCursor,
    pub(super) suspects: BTreeMap<SuspectKey, Suspect>,
    /// Suspects by the number of their last change.
    by_last_change: BTreeMap<u64, SuspectKey>,
    /// Suspects that were alone at an upstream that ended.
    pub(super) tried_alone: BTreeSet<SuspectKey>,
    /// Parts of prompts that were tried together, by the end of the upstream.
    pub(super) tried_together: BTreeMap<u64, BTreeSet<SuspectKey>>,
    pub(super) end_times: EndTimes,
    pruned_at: Millis,
}

/// Key of an upstream instance that was started at `born`.
#[must_use]
pub fn end_key(instance: &str, born: Option<u64>) -> u64 {
    let born = born.unwrap_or_default();
    crate::name_key(&format!("{instance} {born}"))
}

impl SuspectTable {
    /// Creates an empty table; `start` identifies this start of the process.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            revision: ChangeCursor { start, count: 0 },
            suspects: BTreeMap::new(),
            by_last_change: BTreeMap::new(),
            tried_alone: BTreeSet::new(),
            tried_together: BTreeMap::new(),
            end_times: EndTimes::default(),
            pruned_at: Millis(0),
        }
    }

    /// Number of suspects stored.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no suspect is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of ends that a suspect may have caused. Simultaneous ends count once for a part of prompts, as
    /// requests with it run at many upstreams.
    #[must_use]
    pub fn end_count(&self, key: &SuspectKey, now: Millis) -> usize {
        let suspect = self.suspects.get(key);
        let suspect = suspect.filter(|s| now.since(s.last_activity) < SUSPECT_TTL);
        suspect.map_or(0, |s| self.counted_ends(key, s).len())
    }

    /// Whether a suspect may only be sent with permission.
    #[must_use]
    pub fn needs_trial(&self, key: &SuspectKey, now: Millis) -> bool {
        self.end_count(key, now) >= min_ends(key.kind)
    }

    /// Time since the last end that a suspect may have caused.
    pub(super) fn time_since_last_end(&self, key: &SuspectKey, now: Millis) -> Millis {
        let suspect = self.suspects.get(key);
        suspect.map_or(now, |s| s.time_since_last_end(now))
    }

    /// Keys of the ends that a suspect may have caused, as they are counted.
    #[must_use]
    pub fn end_keys(&self, key: &SuspectKey) -> Vec<u64> {
        let suspect = self.suspects.get(key);
        suspect.map_or_else(Vec::new, |s| self.counted_ends(key, s))
    }

    fn counted_ends(&self, key: &SuspectKey, suspect: &Suspect) -> Vec<u64> {
        let open = suspect.open_ends();
        let unexplained = open.filter(|(end, _)| !self.is_explained(key, suspect, *end));
        match key.kind {
            SuspectKind::Request => unexplained.map(|(end, _)| end).collect(),
            SuspectKind::PromptPart => {
                first_of_each_group(unexplained.map(|(end, e)| (e.at, end)).collect())
            }
        }
    }

    /// Records that an upstream ended at `at` while the suspect was in progress there, `alone` if no other suspect
    /// was; returns whether this is new.
    pub fn record_end(&mut self, key: SuspectKey, end_key: u64, alone: bool, at: Millis) -> bool {
        let end = UpstreamEnd {
            key: end_key,
            alone,
            cleared: false,
            age_ms: 0,
        };
        self.merge_ends(key, &[end], at, at)
    }

    /// Clears a suspect that was served; returns the number of ends that this clears.
    pub fn record_served(&mut self, suspect_key: &SuspectKey) -> usize {
        let Some(suspect) = self.suspects.get_mut(suspect_key) else {
            return 0;
        };
        let open = suspect.open_count();
        if suspect.clear() {
            self.record_change(*suspect_key);
        }
        open
    }

    /// Records that the suspect arrived again, so that it stays stored. So do the parts that were tried together with
    /// it: if one expired before the others, these would seem to be the cause without it.
    pub fn touch(&mut self, suspect_key: &SuspectKey, now: Millis) {
        for key in self.related_parts(suspect_key) {
            if let Some(suspect) = self.suspects.get_mut(&key) {
                suspect.last_activity = now;
            }
        }
    }

    /// State of a suspect, in the form in which it is sent and stored.
    #[must_use]
    pub fn export(&self, suspect_key: &SuspectKey, now: Millis) -> Option<SuspectReport> {
        let suspect = self.suspects.get(suspect_key)?;
        Some(SuspectReport {
            key: *suspect_key,
            ends: suspect.all_ends(now),
            age_ms: now.since(suspect.last_activity).0,
        })
    }

    /// Changes since `seen`, or all if it is of another start of the process, up to the maximum for a message; and
    /// the position up to which they go.
    #[must_use]
    pub fn news(&self, seen: ChangeCursor, now: Millis) -> SuspectNews {
        let since = if seen.start == self.revision.start {
            seen.count
        } else {
            0
        };
        let mut news = SuspectNews {
            seen: self.revision,
            reports: Vec::new(),
        };
        for (change, suspect_key) in self.by_last_change.range(since + 1..) {
            if news.reports.len() == MAX_MESSAGE_RECORDS {
                break;
            }
            if let Some(record) = self.export(suspect_key, now) {
                news.reports.push(record);
                news.seen.count = *change;
            }
        }
        if news.reports.len() < MAX_MESSAGE_RECORDS {
            news.seen.count = self.revision.count;
        }
        news
    }

    /// Merges records that a process sent or stored; returns the suspects for which they contained something new.
    pub fn merge(&mut self, records: &[SuspectReport], now: Millis) -> Vec<SuspectKey> {
        let mut changed = Vec::new();
        for record in records {
            let at = now - Millis(record.age_ms);
            if record.age_ms < SUSPECT_TTL.0 && self.merge_ends(record.key, &record.ends, at, now) {
                changed.push(record.key);
            }
        }
        changed
    }

    fn merge_ends(
        &mut self,
        suspect_key: SuspectKey,
        ends: &[UpstreamEnd],
        at: Millis,
        now: Millis,
    ) -> bool {
        self.prune(now);
        let suspect = self.suspects.entry(suspect_key).or_default();
        suspect.last_activity = suspect.last_activity.max(at);
        let received = ends.iter().map(|end| (end.key, End::received(end, now)));
        let received = received.inspect(|(key, end)| self.end_times.add(*key, end.at));
        let new_ends = received.filter(|(key, end)| suspect.merge_end(*key, *end));
        let new_ends = new_ends.count();
        let tried = suspect.open_ends().filter(|(_, end)| end.alone);
        for (end, _) in tried {
            self.tried_alone.insert(suspect_key);
            if suspect_key.kind == SuspectKind::PromptPart {
                let together = self.tried_together.entry(end).or_default();
                together.insert(suspect_key);
            }
        }
        if new_ends > 0 {
            self.record_change(suspect_key);
        }
        new_ends > 0
    }

    fn record_change(&mut self, suspect_key: SuspectKey) {
        self.revision.count += 1;
        let count = self.revision.count;
        if let Some(suspect) = self.suspects.get_mut(&suspect_key) {
            self.by_last_change.remove(&suspect.last_change);
            suspect.last_change = count;
            self.by_last_change.insert(count, suspect_key);
        }
    }

    /// Removes expired requests and, if the table is full, evicts others.
    fn prune(&mut self, now: Millis) {
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.suspects
                .retain(|_, s| now.since(s.last_activity) < SUSPECT_TTL);
            let suspects = &self.suspects;
            self.by_last_change.retain(|_, f| suspects.contains_key(f));
            self.tried_alone.retain(|f| suspects.contains_key(f));
            self.tried_together.retain(|_, parts| {
                parts.retain(|f| suspects.contains_key(f));
                !parts.is_empty()
            });
            self.end_times.prune(now + TIME_OFFSET - SUSPECT_TTL);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.evict();
        }
    }

    /// Evicts one eighth of the capacity: the requests with the fewest ends, and among these the least recently
    /// changed.
    fn evict(&mut self) {
        let rank = |(f, s): (&SuspectKey, &Suspect)| (s.open_count(), s.last_change, *f);
        let mut ranked: Vec<_> = self.suspects.iter().map(rank).collect();
        ranked.sort_unstable();
        for (_, change, suspect_key) in ranked.into_iter().take(MAX_SUSPECTS / 8) {
            self.suspects.remove(&suspect_key);
            self.by_last_change.remove(&change);
            self.tried_alone.remove(&suspect_key);
        }
    }
}
