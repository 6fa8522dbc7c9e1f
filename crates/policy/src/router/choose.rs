//! The decision: collects a few candidates and selects the one with the least cost, which is mainly
//! its expected wait.

use pumicecleat_types::Millis;

use super::batching::shares_steps;
use super::estimate::{load_wait_us, queue_wait_us};
use super::pool::Availability;
use super::prefix::AffinityTarget;
use super::query::{RouteDecision, RouteQuery, SelectedUpstream};
use super::upstream::Residency;
use super::{Router, rng::SplitMix64};
use crate::{LoraIx, UpstreamIx};

/// Randomly sampled upstreams: the candidates of a service without an adapter, and the fallback
/// where no other candidate is ready.
const RANDOM_CANDIDATES: usize = 2;

/// Upstreams that are not ready and that a sample skips at most.
const MAX_SKIPPED: usize = 16;

/// Requests are refused if the expected wait is this many times the time left. Reports lag behind,
/// so a smaller excess may be wrong.
const LATE_FACTOR: u64 = 2;

/// Microseconds in a millisecond.
pub(super) const MICROS_PER_MILLI: u64 = 1_000;

/// Preference between candidates, ahead of their cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CandidateClass {
    Ready,
    Stalled,
    Suspect,
}

/// Candidate with its cost.
#[derive(Clone, Copy, Debug)]
struct ScoredCandidate {
    class: CandidateClass,
    /// Expected wait, plus the margin for a new copy and the penalty for an empty batch, minus the
    /// prefill time saved by a cached prefix, microseconds.
    cost: i64,
    /// Expected wait, microseconds.
    wait: u64,
    residency: Residency,
    up: UpstreamIx,
}

impl Router {
    /// Selects an upstream for a request.
    pub fn choose(&mut self, query: &RouteQuery<'_>, now: Millis) -> RouteDecision {
        let scored = self.candidates(query, now);
        let Some(best) = self.best(&scored) else {
            let retry_after = self.options.retry_after;
            return RouteDecision::Refuse { retry_after };
        };
        let wait = Millis(best.wait.div_ceil(MICROS_PER_MILLI));
        if wait.0 / LATE_FACTOR > query.time_left.0 {
            let retry_after = wait.since(query.time_left).max(self.options.retry_after);
            return RouteDecision::Refuse { retry_after };
        }
        RouteDecision::Send(SelectedUpstream {
            up: best.up,
            wait,
            resident: best.residency == Residency::Resident,
        })
    }

    /// Expected wait at an upstream, whether or not it may get work; `None` if it is unknown.
    #[must_use]
    pub fn expected_wait(
        &self,
        up: UpstreamIx,
        lora: Option<LoraIx>,
        now: Millis,
    ) -> Option<Millis> {
        let (wait, _) = self.expected_wait_us(up, lora, now)?;
        Some(Millis(wait.div_ceil(MICROS_PER_MILLI)))
    }

    fn candidates(&mut self, query: &RouteQuery<'_>, now: Millis) -> Vec<ScoredCandidate> {
        let mut ups = self.holders_and_homes(query, now);
        let target = self.affinity_target(query.pool, query.lora, query.prompt);
        ups.extend(target.holder());
        let scored = self.score_all(query, &target, &ups, now);
        if scored.iter().any(|s| s.class == CandidateClass::Ready) {
            return scored;
        }
        ups.extend(self.random_candidates(query, now));
        self.score_all(query, &target, &ups, now)
    }

    /// A sample of the adapter's holders, followed by its homes.
    fn holders_and_homes(&mut self, query: &RouteQuery<'_>, now: Millis) -> Vec<UpstreamIx> {
        let (Some(pool), Some(lora)) = (self.pools.get(query.pool.0 as usize), query.lora) else {
            return Vec::new();
        };
        let mut rng = self.rng;
        let holders = pool.holders.of(lora);
        let mut candidates = self.sample(
            query,
            holders,
            self.options.holder_candidates,
            &mut rng,
            now,
        );
        candidates.extend(pool.homes(lora, self.lora_key(lora), self.options.home_candidates));
        self.rng = rng;
        candidates
    }

    /// A random sample of the fresh upstreams, or of the suspect ones if that is empty.
    fn random_candidates(&mut self, query: &RouteQuery<'_>, now: Millis) -> Vec<UpstreamIx> {
        let Some(pool) = self.pools.get(query.pool.0 as usize) else {
            return Vec::new();
        };
        let mut rng = self.rng;
        let mut sampled = self.sample(query, &pool.fresh, RANDOM_CANDIDATES, &mut rng, now);
        if sampled.is_empty() {
            sampled = self.sample(query, &pool.suspect, RANDOM_CANDIDATES, &mut rng, now);
        }
        self.rng = rng;
        sampled
    }

    /// Samples at most `count` of `ups`: from each random position, takes the next upstream that is
    /// ready, or else the next one that was not tried.
    fn sample(
        &self,
        query: &RouteQuery<'_>,
        ups: &[UpstreamIx],
        count: usize,
        rng: &mut SplitMix64,
        now: Millis,
    ) -> Vec<UpstreamIx> {
        let window_len = ups.len().min(query.tried.len() + count + MAX_SKIPPED);
        let mut sampled = Vec::with_capacity(count);
        for _ in 0..count.min(ups.len()) {
            let start = rng.below(ups.len());
            let window = (0..window_len).map(|n| ups[(start + n) % ups.len()]);
            let mut untried = window.filter(|u| !query.tried.contains(u) && !sampled.contains(u));
            let ready = untried
                .clone()
                .find(|&u| self.class(query, u, now) == Some(CandidateClass::Ready));
            let next = ready.or_else(|| untried.next());
            sampled.extend(next);
        }
        sampled
    }

    fn score_all(
        &self,
        query: &RouteQuery<'_>,
        target: &AffinityTarget,
        ups: &[UpstreamIx],
        now: Millis,
    ) -> Vec<ScoredCandidate> {
        let untried = ups.iter().filter(|u| !query.tried.contains(u));
        let scored = untried.filter_map(|&up| self.score(query, target, up, now));
        scored.collect()
    }

    fn score(
        &self,
        query: &RouteQuery<'_>,
        target: &AffinityTarget,
        up: UpstreamIx,
        now: Millis,
    ) -> Option<ScoredCandidate> {
        let class = self.class(query, up, now)?;
        let (wait, residency) = self.expected_wait_us(up, query.lora, now)?;
        let margin = match residency {
            Residency::Absent => self.options.copy_margin.0 * MICROS_PER_MILLI,
            Residency::Resident | Residency::Pending(_) => 0,
        };
        let saved = self.prefix_saving_us(up, residency, target);
        Some(ScoredCandidate {
            class,
            cost: signed(wait + margin + self.idle_penalty_us(query, up, residency))
                - signed(saved),
            wait,
            residency,
            up,
        })
    }

    /// Penalty for running a request in an otherwise empty batch; none for a call without an
    /// adapter.
    fn idle_penalty_us(&self, query: &RouteQuery<'_>, up: UpstreamIx, residency: Residency) -> u64 {
        let upstream = &self.upstreams[up.0 as usize];
        if query.lora.is_none() || shares_steps(upstream, residency) {
            return 0;
        }
        self.idle_penalty.0 * MICROS_PER_MILLI
    }

    pub(super) fn class(
        &self,
        query: &RouteQuery<'_>,
        up: UpstreamIx,
        now: Millis,
    ) -> Option<CandidateClass> {
        let upstream = self.upstreams.get(up.0 as usize)?;
        if upstream.pool != query.pool {
            return None;
        }
        match upstream.availability() {
            Availability::Excluded => None,
            Availability::Suspect => Some(CandidateClass::Suspect),
            Availability::Fresh if upstream.demotion.is_active(now, &self.options) => {
                Some(CandidateClass::Stalled)
            }
            Availability::Fresh => Some(CandidateClass::Ready),
        }
    }

    pub(super) fn expected_wait_us(
        &self,
        up: UpstreamIx,
        lora: Option<LoraIx>,
        now: Millis,
    ) -> Option<(u64, Residency)> {
        let upstream = self.upstreams.get(up.0 as usize)?;
        let residency = lora.map_or(Residency::Resident, |l| upstream.residency(l));
        let queue = queue_wait_us(upstream, &self.options);
        let load = load_wait_us(upstream, residency, self.load_time, &self.options, now);
        Some((queue + load, residency))
    }

    /// The candidate of the best class with the least cost. If it needs a load, the earliest home
    /// whose cost is within `home_margin` of it is preferred, so that entries agree on where to
    /// load.
    fn best(&self, scored: &[ScoredCandidate]) -> Option<ScoredCandidate> {
        let best = scored.iter().min_by_key(|s| (s.class, s.cost))?;
        if best.residency != Residency::Absent {
            return Some(*best);
        }
        let max_cost = best.cost + signed(self.options.home_margin.0 * MICROS_PER_MILLI);
        let comparable = |s: &&ScoredCandidate| {
            s.class == best.class && s.residency == Residency::Absent && s.cost <= max_cost
        };
        scored.iter().find(comparable).copied()
    }
}

fn signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX / 4)
}
