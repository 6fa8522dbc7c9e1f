//! Requests that one process knows to have been in progress when upstreams ended.

use std::collections::BTreeMap;

use pumicecleat_types::{
    ChangeCursor, Fingerprint, Millis, SuspectNews, SuspectReport, UpstreamEnd,
};

use super::suspect::Suspect;

/// Time for which a request is stored after its last end or arrival. Longer than callers retry a request, and
/// than a rollout to all upstreams takes.
const SUSPECT_TTL: Millis = Millis(600_000);

/// Maximum number of requests stored, at about 250 bytes each and 1 MB in total. Requests with the fewest ends
/// are evicted first, and among these the least recently changed.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of requests in a message.
const MAX_MESSAGE_RECORDS: usize = 128;

/// Minimum interval between removals of expired requests.
const PRUNE_INTERVAL: Millis = Millis(10_000);

/// Requests that were in progress when upstreams ended.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    /// ID of this start of the process, and number of changes since.
    revision: ChangeCursor,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Requests by the number of their last change.
    by_last_change: BTreeMap<u64, Fingerprint>,
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
            pruned_at: Millis(0),
        }
    }

    /// Number of requests stored.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of ends that a request may have caused.
    #[must_use]
    pub fn end_count(&self, fingerprint: &Fingerprint, now: Millis) -> usize {
        let suspect = self.suspects.get(fingerprint);
        let suspect = suspect.filter(|s| now.since(s.last_activity) < SUSPECT_TTL);
        suspect.map_or(0, Suspect::open_ends)
    }

    /// Time until a request may be retried, if it is known to have caused an end.
    #[must_use]
    pub fn retry_after(&self, fingerprint: &Fingerprint, now: Millis) -> Option<Millis> {
        let suspect = self.suspects.get(fingerprint)?;
        let remaining = (suspect.last_activity + SUSPECT_TTL).since(now);
        (suspect.is_proven() && remaining > Millis(0)).then_some(remaining)
    }

    /// Keys of the ends that a request may have caused.
    #[must_use]
    pub fn end_keys(&self, fingerprint: &Fingerprint) -> Vec<u64> {
        self.suspects
            .get(fingerprint)
            .map(Suspect::open_end_keys)
            .unwrap_or_default()
    }

    /// Records that an upstream ended while the request was in progress there, `alone` if no other suspect was;
    /// returns whether this is new.
    pub fn record_end(
        &mut self,
        fingerprint: Fingerprint,
        key: u64,
        alone: bool,
        now: Millis,
    ) -> bool {
        let end = UpstreamEnd {
            key,
            alone,
            cleared: false,
        };
        self.merge_ends(fingerprint, &[end], now, now)
    }

    /// Clears a request that was served; returns the number of ends that this clears.
    pub fn record_served(&mut self, fingerprint: &Fingerprint) -> usize {
        let Some(suspect) = self.suspects.get_mut(fingerprint) else {
            return 0;
        };
        let open = suspect.open_ends();
        if suspect.clear() {
            self.record_change(*fingerprint);
        }
        open
    }

    /// Records that the request arrived again, so that it stays stored.
    pub fn touch(&mut self, fingerprint: &Fingerprint, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(fingerprint) {
            suspect.last_activity = now;
        }
    }

    /// State of a request, in the form in which it is sent and stored.
    #[must_use]
    pub fn export(&self, fingerprint: &Fingerprint, now: Millis) -> Option<SuspectReport> {
        let suspect = self.suspects.get(fingerprint)?;
        Some(SuspectReport {
            fingerprint: *fingerprint,
            ends: suspect.all_ends(),
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
        for (change, fingerprint) in self.by_last_change.range(since + 1..) {
            if news.reports.len() == MAX_MESSAGE_RECORDS {
                break;
            }
            if let Some(record) = self.export(fingerprint, now) {
                news.reports.push(record);
                news.seen.count = *change;
            }
        }
        if news.reports.len() < MAX_MESSAGE_RECORDS {
            news.seen.count = self.revision.count;
        }
        news
    }

    /// Merges records that a process sent or stored; returns the requests for which they contained something new.
    pub fn merge(&mut self, records: &[SuspectReport], now: Millis) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for record in records {
            let at = now - Millis(record.age_ms);
            if record.age_ms < SUSPECT_TTL.0
                && self.merge_ends(record.fingerprint, &record.ends, at, now)
            {
                changed.push(record.fingerprint);
            }
        }
        changed
    }

    fn merge_ends(
        &mut self,
        fingerprint: Fingerprint,
        ends: &[UpstreamEnd],
        at: Millis,
        now: Millis,
    ) -> bool {
        self.prune(now);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.last_activity = suspect.last_activity.max(at);
        let new_ends = ends.iter().filter(|end| suspect.merge_end(**end)).count();
        if new_ends > 0 {
            self.record_change(fingerprint);
        }
        new_ends > 0
    }

    fn record_change(&mut self, fingerprint: Fingerprint) {
        self.revision.count += 1;
        let count = self.revision.count;
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            self.by_last_change.remove(&suspect.last_change);
            suspect.last_change = count;
            self.by_last_change.insert(count, fingerprint);
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
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.evict();
        }
    }

    /// Evicts one eighth of the capacity: the requests with the fewest ends, and among these the least recently
    /// changed.
    fn evict(&mut self) {
        let rank = |(f, s): (&Fingerprint, &Suspect)| (s.open_ends(), s.last_change, *f);
        let mut ranked: Vec<_> = self.suspects.iter().map(rank).collect();
        ranked.sort_unstable();
        for (_, change, fingerprint) in ranked.into_iter().take(MAX_SUSPECTS / 8) {
            self.suspects.remove(&fingerprint);
            self.by_last_change.remove(&change);
        }
    }
}
