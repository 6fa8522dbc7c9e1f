//! Prefix hints: which upstream probably caches a prompt prefix.
//!
//! Cache events come late and with gaps, so a hint only breaks near ties. The oldest hints go first
//! once the bound is reached.

use std::collections::{BTreeMap, BTreeSet};

use crate::UpstreamIx;

/// Bounded set of hints.
#[derive(Clone, Debug, Default)]
pub(super) struct Hints {
    bound: usize,
    next: u64,
    /// Number of each hint, by prefix.
    prefixes: BTreeMap<(u64, UpstreamIx), u64>,
    /// The same by upstream.
    upstreams: BTreeSet<(UpstreamIx, u64)>,
    /// The same by number, oldest first.
    ages: BTreeMap<u64, (u64, UpstreamIx)>,
}

impl Hints {
    pub(super) fn new(bound: usize) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    pub(super) fn add(&mut self, prefix: u64, up: UpstreamIx) {
        self.remove(prefix, up);
        self.prefixes.insert((prefix, up), self.next);
        self.upstreams.insert((up, prefix));
        self.ages.insert(self.next, (prefix, up));
        self.next += 1;
        self.trim();
    }

    pub(super) fn remove(&mut self, prefix: u64, up: UpstreamIx) {
        if let Some(number) = self.prefixes.remove(&(prefix, up)) {
            self.upstreams.remove(&(up, prefix));
            self.ages.remove(&number);
        }
    }

    /// Drops all hints of an upstream.
    pub(super) fn clear(&mut self, up: UpstreamIx) {
        let range = (up, 0)..=(up, u64::MAX);
        let prefixes: Vec<u64> = self.upstreams.range(range).map(|&(_, p)| p).collect();
        for prefix in prefixes {
            self.remove(prefix, up);
        }
    }

    pub(super) fn contains(&self, prefix: u64, up: UpstreamIx) -> bool {
        self.prefixes.contains_key(&(prefix, up))
    }

    /// At most `count` upstreams with a hint for this prefix.
    pub(super) fn of(&self, prefix: u64, count: usize) -> impl Iterator<Item = UpstreamIx> {
        let range = (prefix, UpstreamIx(0))..=(prefix, UpstreamIx(u32::MAX));
        self.prefixes.range(range).take(count).map(|(k, _)| k.1)
    }

    pub(super) fn len(&self) -> usize {
        self.ages.len()
    }

    fn trim(&mut self) {
        while self.ages.len() > self.bound {
            let Some((_, (prefix, up))) = self.ages.pop_first() else {
                return;
            };
            self.prefixes.remove(&(prefix, up));
            self.upstreams.remove(&(up, prefix));
        }
    }
}
