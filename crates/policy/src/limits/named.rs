//! State of the rate limits, by upstream.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::Millis;

/// Maximum number of upstreams in each collection; further ones are not stored.
const MAX_UPSTREAMS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Requests per 1,000 seconds.
    rate: u64,
    /// When the upstream began to announce a limit, whatever its rate.
    held_since: Millis,
    /// Arrival of the last response that was applied.
    updated_at: Millis,
    /// Start of the upstream, if known.
    born: Option<u64>,
}

/// Upstream that sent a response.
#[derive(Clone, Copy, Debug)]
pub struct LimitSource<'a> {
    /// Instance name.
    pub instance: &'a str,
    /// Unix time of its start in milliseconds, if known.
    pub born: Option<u64>,
}

/// Change of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// A limit was set or its rate changed.
    Set {
        /// Requests per 1,000 seconds.
        rate: u64,
    },
    /// The limit was cleared.
    Ended {
        /// Time for which a limit was in effect.
        held: Millis,
    },
}

/// Rate limits by upstream instance.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<String, Limit>,
    /// Instances that sent a malformed limit.
    unreadable: BTreeSet<String>,
}

impl RateLimits {
    /// Applies a response that arrived at `now` to a request sent at `sent_at`. `rate` is the limit that it
    /// carries, in requests per 1,000 seconds, or `None` if it carries none.
    pub fn update(
        &mut self,
        source: LimitSource<'_>,
        rate: Option<u64>,
        sent_at: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        let known = self.limits.get(source.instance).copied();
        if known.is_some_and(|limit| source.born.is_some() && limit.born > source.born) {
            return None;
        }
        let known = known.filter(|limit| limit.applies_to(source.born));
        let may_relax = known.is_none_or(|limit| sent_at >= limit.updated_at);
        match (known, rate) {
            (None, None) => None,
            (Some(limit), None) => may_relax.then(|| {
                self.limits.remove(source.instance);
                let held = now.since(limit.held_since);
                LimitChange::Ended { held }
            }),
            (Some(limit), Some(rate)) if rate > limit.rate && !may_relax => None,
            (known, Some(rate)) => {
                let stored = self.set(source, rate, known.map_or(now, |l| l.held_since), now);
                let unchanged = known.is_some_and(|limit| limit.rate == rate);
                (stored && !unchanged).then_some(LimitChange::Set { rate })
            }
        }
    }

    fn set(&mut self, source: LimitSource<'_>, rate: u64, held_since: Millis, now: Millis) -> bool {
        if self.limits.len() >= MAX_UPSTREAMS && !self.limits.contains_key(source.instance) {
            return false;
        }
        let limit = Limit {
            rate,
            held_since,
            updated_at: now,
            born: source.born,
        };
        self.limits.insert(source.instance.to_owned(), limit);
        true
    }

    /// Records a malformed limit; returns whether it is the first one from `instance`.
    pub fn note_unreadable(&mut self, instance: &str) -> bool {
        let has_capacity = self.unreadable.len() < MAX_UPSTREAMS;
        has_capacity && self.unreadable.insert(instance.to_owned())
    }

    /// Limit of `instance`, started at `born`, in requests per 1,000 seconds.
    #[must_use]
    pub fn rate(&self, instance: &str, born: Option<u64>) -> Option<u64> {
        let limit = self.limits.get(instance)?;
        limit.applies_to(born).then_some(limit.rate)
    }

    /// Removes all state of an upstream that no longer exists.
    pub fn forget(&mut self, instance: &str) {
        self.limits.remove(instance);
        self.unreadable.remove(instance);
    }
}

impl Limit {
    /// Whether the limit applies to the upstream started at `born`: unless that start is known to be later
    /// than the one that announced the limit.
    fn applies_to(&self, born: Option<u64>) -> bool {
        self.born.is_none() || born <= self.born
    }
}
