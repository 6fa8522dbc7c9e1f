//! State of the rate limits, by upstream.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::{LimitNews, Millis};

use super::pace::{Pacer, Slot};

/// Maximum number of upstreams in each collection; further ones are not stored.
const MAX_UPSTREAMS: usize = 4_096;

/// Time for which the end of a limit is reported to other processes.
const ENDED_NEWS_SPAN: Millis = Millis(10_000);

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
    pacer: Pacer,
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

/// Decision on a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The upstream has no limit; the request may be sent immediately.
    Unlimited,
    /// The request may be sent in this slot.
    Reserved(Slot),
    /// No slot is free in time; the next one is free after this time.
    Refused(Millis),
}

/// Rate limits by upstream instance.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<String, Limit>,
    /// When limits ended, for news and to ignore older news.
    ended: BTreeMap<String, Millis>,
    /// Fraction of the interval before the first slot of a limit.
    phase: f64,
    /// When the agent of an instance next has a free slot.
    exhausted_until: BTreeMap<String, Millis>,
    /// Instances that sent a malformed limit.
    unreadable: BTreeSet<String>,
}

impl RateLimits {
    /// Creates an empty set. The first slot of a limit is delayed by the fraction `phase`, from 0 to 1, of the
    /// interval. Processes that share a limit use different phases, so that their first requests do not
    /// coincide.
    #[must_use]
    pub fn new_ext(phase: f64) -> Self {
        Self {
            phase,
            ..Self::default()
        }
    }

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
                self.end(source.instance, now);
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
        let pacer = self.limits.get(source.instance).map(|l| l.pacer);
        let limit = Limit {
            rate,
            held_since,
            updated_at: now,
            born: source.born,
            pacer: pacer.unwrap_or(Pacer::new_ext(self.phase, now)),
        };
        self.ended.remove(source.instance);
        self.limits.insert(source.instance.to_owned(), limit);
        true
    }

    fn end(&mut self, instance: &str, now: Millis) {
        self.limits.remove(instance);
        self.ended.retain(|_, at| now.since(*at) < ENDED_NEWS_SPAN);
        if self.ended.len() < MAX_UPSTREAMS {
            self.ended.insert(instance.to_owned(), now);
        }
    }

    /// Applies news of the limit of `instance` from another process, unless a later response is known.
    pub fn apply_news(&mut self, instance: &str, news: LimitNews, now: Millis) {
        let at = Millis(now.0.saturating_sub(news.age_ms));
        let known = self.limits.get(instance).map(|l| l.updated_at);
        let known = known.max(self.ended.get(instance).copied());
        if known.is_some_and(|known| known > at) {
            return;
        }
        let source = LimitSource {
            instance,
            born: None,
        };
        match news.rate {
            Some(rate) => {
                self.set(source, rate, at, at);
            }
            None => self.end(instance, at),
        }
    }

    /// News of the limit of `instance` for other processes; `None` if it has no limit and none ended recently.
    #[must_use]
    pub fn news(&self, instance: &str, now: Millis) -> Option<LimitNews> {
        let limit = self
            .limits
            .get(instance)
            .map(|l| (Some(l.rate), l.updated_at));
        let ended = self.ended.get(instance).map(|at| (None, *at));
        let (rate, at) = limit.or(ended.filter(|(_, at)| now.since(*at) < ENDED_NEWS_SPAN))?;
        let age_ms = now.since(at).0;
        Some(LimitNews { rate, age_ms })
    }

    /// Records that the agent of `instance` has no free slot before `until`.
    pub fn note_exhausted(&mut self, instance: &str, until: Millis, now: Millis) {
        self.exhausted_until.retain(|_, until| *until > now);
        if self.exhausted_until.len() < MAX_UPSTREAMS {
            self.exhausted_until.insert(instance.to_owned(), until);
        }
    }

    /// Whether the agent of `instance` is known to have no free slot now.
    #[must_use]
    pub fn is_exhausted(&self, instance: &str, now: Millis) -> bool {
        self.exhausted_until
            .get(instance)
            .is_some_and(|until| *until > now)
    }

    /// Time until the next free slot of this process if `sharers` processes share the limit equally.
    #[must_use]
    pub fn wait(&self, source: LimitSource<'_>, sharers: u32, now: Millis) -> Millis {
        let limit = self.limits.get(source.instance);
        let limit = limit.filter(|limit| limit.applies_to(source.born));
        limit.map_or(Millis(0), |l| l.pacer.wait(l.rate, sharers, now))
    }

    /// Reserves the next free slot of this process if it is free within `max_wait`, where `sharers` processes
    /// share the limit equally.
    pub fn reserve(
        &mut self,
        source: LimitSource<'_>,
        sharers: u32,
        max_wait: Millis,
        now: Millis,
    ) -> Admission {
        let limit = self.limits.get_mut(source.instance);
        let Some(limit) = limit.filter(|limit| limit.applies_to(source.born)) else {
            return Admission::Unlimited;
        };
        let reserved = limit.pacer.reserve(limit.rate, sharers, max_wait, now);
        reserved.map_or_else(Admission::Refused, Admission::Reserved)
    }

    /// Records that this process lends its share of the limit of `instance` at `now`. Its next slot is that of a new
    /// limit, so that processes which stop lending at the same time don't all use a slot at once.
    pub fn note_lent(&mut self, instance: &str, now: Millis) {
        if let Some(limit) = self.limits.get_mut(instance) {
            limit.pacer.restart(now);
        }
    }

    /// Frees a slot that was not used, unless a later one has been reserved.
    pub fn give_back(&mut self, instance: &str, slot: Slot) {
        if let Some(limit) = self.limits.get_mut(instance) {
            limit.pacer.give_back(slot);
        }
    }

    /// Records a malformed limit; returns whether it is the first one from `instance`.
    pub fn note_unreadable(&mut self, instance: &str) -> bool {
        let has_capacity = self.unreadable.len() < MAX_UPSTREAMS;
        has_capacity && self.unreadable.insert(instance.to_owned())
    }

    /// Whether no upstream has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Limit of `instance`, started at `born`, in requests per 1,000 seconds.
    #[must_use]
    pub fn rate(&self, instance: &str, born: Option<u64>) -> Option<u64> {
        let limit = self.limits.get(instance)?;
        limit.applies_to(born).then_some(limit.rate)
    }

    /// Removes all state of an upstream that no longer exists.
    pub fn remove(&mut self, instance: &str) {
        self.limits.remove(instance);
        self.ended.remove(instance);
        self.exhausted_until.remove(instance);
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
