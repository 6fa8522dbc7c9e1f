//! All requests under which upstreams ended, as far as one process knows.

use std::collections::BTreeMap;

use pumicecleat_types::{Fingerprint, Millis, Seen, SuspectNews, SuspectWord, UpstreamEnd};

use super::case::Case;

/// Time after its last end, and after it last came, for which a request is remembered: longer than
/// callers go on with one, and than a release of all upstreams takes.
const MEMORY: Millis = Millis(600_000);

/// Most requests remembered: some 250 bytes each, a megabyte in all. Those with the fewest ends go
/// first, the oldest of them before the others.
const CASES: usize = 4_096;

/// Requests told of in one message.
const WORDS: usize = 128;

/// Pause between two looks for what may be forgotten.
const LOOK: Millis = Millis(10_000);

/// Requests under which upstreams ended.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    /// This start of the process, and its count of changes.
    seen: Seen,
    cases: BTreeMap<Fingerprint, Case>,
    /// Requests by the change at which they last changed.
    changes: BTreeMap<u64, Fingerprint>,
    looked: Millis,
}

/// Key of one start of an upstream.
#[must_use]
pub fn end_key(instance: &str, born: Option<u64>) -> u64 {
    let born = born.unwrap_or_default();
    crate::name_key(&format!("{instance} {born}"))
}

impl SuspectTable {
    /// Knows of none; `start` tells this start of the process from others.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            seen: Seen { start, count: 0 },
            cases: BTreeMap::new(),
            changes: BTreeMap::new(),
            looked: Millis(0),
        }
    }

    /// Requests known of.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Whether none is known of.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Upstreams that a request may have ended.
    #[must_use]
    pub fn end_count(&self, fingerprint: &Fingerprint, now: Millis) -> usize {
        let case = self.cases.get(fingerprint);
        let case = case.filter(|c| now.since(c.last) < MEMORY);
        case.map_or(0, Case::open)
    }

    /// Time for which a request is refused, if it is the cause of an end.
    #[must_use]
    pub fn retry_after(&self, fingerprint: &Fingerprint, now: Millis) -> Option<Millis> {
        let case = self.cases.get(fingerprint)?;
        let left = (case.last + MEMORY).since(now);
        (case.is_proven() && left > Millis(0)).then_some(left)
    }

    /// Their keys.
    #[must_use]
    pub fn end_keys(&self, fingerprint: &Fingerprint) -> Vec<u64> {
        self.cases
            .get(fingerprint)
            .map(Case::keys)
            .unwrap_or_default()
    }

    /// An upstream ended while the request was under way there, `alone` if no other suspect was; gives
    /// whether that is new.
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
        self.take(fingerprint, &[end], now, now)
    }

    /// The request was served; gives the ends that it is cleared of.
    pub fn record_served(&mut self, fingerprint: &Fingerprint) -> usize {
        let Some(case) = self.cases.get_mut(fingerprint) else {
            return 0;
        };
        let open = case.open();
        if case.clear() {
            self.note_change(*fingerprint);
        }
        open
    }

    /// The request came again: it is remembered from now on.
    pub fn touch(&mut self, fingerprint: &Fingerprint, now: Millis) {
        if let Some(case) = self.cases.get_mut(fingerprint) {
            case.last = now;
        }
    }

    /// What is known of a request.
    #[must_use]
    pub fn export(&self, fingerprint: &Fingerprint, now: Millis) -> Option<SuspectWord> {
        let case = self.cases.get(fingerprint)?;
        Some(SuspectWord {
            fingerprint: *fingerprint,
            ends: case.words(),
            age_ms: now.since(case.last).0,
        })
    }

    /// What is new since `seen`, and how far that goes.
    #[must_use]
    pub fn news(&self, seen: Seen, now: Millis) -> SuspectNews {
        let since = if seen.start == self.seen.start {
            seen.count
        } else {
            0
        };
        let mut news = SuspectNews {
            seen: self.seen,
            words: Vec::new(),
        };
        for (changed, fingerprint) in self.changes.range(since + 1..) {
            if news.words.len() == WORDS {
                break;
            }
            if let Some(word) = self.export(fingerprint, now) {
                news.words.push(word);
                news.seen.count = *changed;
            }
        }
        if news.words.len() < WORDS {
            news.seen.count = self.seen.count;
        }
        news
    }

    /// Takes in what another process told; gives the requests of which it told something new.
    pub fn merge(&mut self, words: &[SuspectWord], now: Millis) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for word in words {
            let at = now - Millis(word.age_ms);
            if word.age_ms < MEMORY.0 && self.take(word.fingerprint, &word.ends, at, now) {
                changed.push(word.fingerprint);
            }
        }
        changed
    }

    fn take(
        &mut self,
        fingerprint: Fingerprint,
        ends: &[UpstreamEnd],
        at: Millis,
        now: Millis,
    ) -> bool {
        self.forget(now);
        let case = self.cases.entry(fingerprint).or_default();
        case.last = case.last.max(at);
        let new = ends.iter().filter(|end| case.take(**end)).count();
        if new > 0 {
            self.note_change(fingerprint);
        }
        new > 0
    }

    fn note_change(&mut self, fingerprint: Fingerprint) {
        self.seen.count += 1;
        let count = self.seen.count;
        if let Some(case) = self.cases.get_mut(&fingerprint) {
            self.changes.remove(&case.changed);
            case.changed = count;
            self.changes.insert(count, fingerprint);
        }
    }

    /// Makes room, and forgets what is over.
    fn forget(&mut self, now: Millis) {
        if now.since(self.looked) >= LOOK {
            self.looked = now;
            self.cases.retain(|_, c| now.since(c.last) < MEMORY);
            let cases = &self.cases;
            self.changes.retain(|_, f| cases.contains_key(f));
        }
        if self.cases.len() >= CASES {
            self.make_room();
        }
    }

    /// Drops an eighth: those with the fewest ends, the oldest of them first.
    fn make_room(&mut self) {
        let rank = |(f, c): (&Fingerprint, &Case)| (c.open(), c.changed, *f);
        let mut ranked: Vec<_> = self.cases.iter().map(rank).collect();
        ranked.sort_unstable();
        for (_, changed, fingerprint) in ranked.into_iter().take(CASES / 8) {
            self.cases.remove(&fingerprint);
            self.changes.remove(&changed);
        }
    }
}
