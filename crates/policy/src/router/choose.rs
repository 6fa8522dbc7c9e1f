//! The choice: a few candidates, then the shortest expected wait among them.

use pumicecleat_types::Millis;

use super::ask::{RouteDecision, RouteQuery, SelectedUpstream};
use super::estimate::{load_us, queue_us};
use super::pack::has_company;
use super::pool::Standing;
use super::prefix::Aim;
use super::upstream::Hold;
use super::{Router, draw::Draw};
use crate::{LoraIx, UpstreamIx};

/// Upstreams compared for a plain service, and those drawn where no other candidate is ready.
const DRAWN: usize = 2;

/// Upstreams that are not ready and that a draw steps over at most.
const STEPS: usize = 16;

/// Expected waits of this many times the time left are refused: figures lag, so less may be wrong.
const LATE: u64 = 2;

/// Microseconds in a millisecond.
pub(super) const MICROS: u64 = 1_000;

/// Order in which candidates are taken, before any wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    Ready,
    Stalled,
    Suspect,
}

/// A candidate with its expected wait.
#[derive(Clone, Copy, Debug)]
struct Scored {
    class: Class,
    /// Wait with what a new copy must win and what running alone gives up, less what a cached prefix
    /// saves, microseconds.
    cost: i64,
    /// Expected wait, microseconds.
    wait: u64,
    hold: Hold,
    up: UpstreamIx,
}

impl Router {
    /// Where this request should go.
    pub fn choose(&mut self, ask: &RouteQuery<'_>, now: Millis) -> RouteDecision {
        let scored = self.candidates(ask, now);
        let Some(best) = self.best(&scored) else {
            let retry = self.options.retry_after;
            return RouteDecision::Refuse { retry_after: retry };
        };
        let wait = Millis(best.wait.div_ceil(MICROS));
        if wait.0 / LATE > ask.time_left.0 {
            let retry = wait.since(ask.time_left).max(self.options.retry_after);
            return RouteDecision::Refuse { retry_after: retry };
        }
        RouteDecision::Send(SelectedUpstream {
            up: best.up,
            wait,
            resident: best.hold == Hold::Resident,
        })
    }

    /// Expected wait at one upstream, whether or not it may get work; `None` if it is not known.
    #[must_use]
    pub fn expected_wait(
        &self,
        up: UpstreamIx,
        lora: Option<LoraIx>,
        now: Millis,
    ) -> Option<Millis> {
        let (wait, _) = self.wait_us(up, lora, now)?;
        Some(Millis(wait.div_ceil(MICROS)))
    }

    fn candidates(&mut self, ask: &RouteQuery<'_>, now: Millis) -> Vec<Scored> {
        let mut ups = self.near(ask, now);
        let aim = self.aim(ask.pool, ask.lora, ask.prompt);
        ups.extend(aim.meeting());
        let scored = self.score(ask, &aim, &ups, now);
        if scored.iter().any(|s| s.class == Class::Ready) {
            return scored;
        }
        ups.extend(self.drawn(ask, now));
        self.score(ask, &aim, &ups, now)
    }

    /// Some holders, then the homes.
    fn near(&mut self, ask: &RouteQuery<'_>, now: Millis) -> Vec<UpstreamIx> {
        let (Some(pool), Some(lora)) = (self.pools.get(ask.pool.0 as usize), ask.lora) else {
            return Vec::new();
        };
        let mut draw = self.draw;
        let holders = pool.holders.of(lora);
        let mut near = self.walk(ask, holders, self.options.holder_candidates, &mut draw, now);
        near.extend(pool.homes(lora, self.lora_key(lora), self.options.home_candidates));
        self.draw = draw;
        near
    }

    /// Upstreams drawn from the fresh ones, or else from the suspect ones.
    fn drawn(&mut self, ask: &RouteQuery<'_>, now: Millis) -> Vec<UpstreamIx> {
        let Some(pool) = self.pools.get(ask.pool.0 as usize) else {
            return Vec::new();
        };
        let mut draw = self.draw;
        let mut drawn = self.walk(ask, &pool.fresh, DRAWN, &mut draw, now);
        if drawn.is_empty() {
            drawn = self.walk(ask, &pool.behind, DRAWN, &mut draw, now);
        }
        self.draw = draw;
        drawn
    }

    /// At most `count` of `ups`: the first ready ones after drawn places, or else the first untried.
    fn walk(
        &self,
        ask: &RouteQuery<'_>,
        ups: &[UpstreamIx],
        count: usize,
        draw: &mut Draw,
        now: Millis,
    ) -> Vec<UpstreamIx> {
        let reach = ups.len().min(ask.tried.len() + count + STEPS);
        let mut taken = Vec::with_capacity(count);
        for _ in 0..count.min(ups.len()) {
            let start = draw.below(ups.len());
            let near = (0..reach).map(|n| ups[(start + n) % ups.len()]);
            let mut open = near.filter(|u| !ask.tried.contains(u) && !taken.contains(u));
            let ready = open
                .clone()
                .find(|&u| self.class(ask, u, now) == Some(Class::Ready));
            let next = ready.or_else(|| open.next());
            taken.extend(next);
        }
        taken
    }

    fn score(
        &self,
        ask: &RouteQuery<'_>,
        aim: &Aim,
        ups: &[UpstreamIx],
        now: Millis,
    ) -> Vec<Scored> {
        let open = ups.iter().filter(|u| !ask.tried.contains(u));
        let scored = open.filter_map(|&up| self.scored(ask, aim, up, now));
        scored.collect()
    }

    fn scored(
        &self,
        ask: &RouteQuery<'_>,
        aim: &Aim,
        up: UpstreamIx,
        now: Millis,
    ) -> Option<Scored> {
        let class = self.class(ask, up, now)?;
        let (wait, hold) = self.wait_us(up, ask.lora, now)?;
        let margin = match hold {
            Hold::Absent => self.options.copy_margin.0 * MICROS,
            Hold::Resident | Hold::Coming(_) => 0,
        };
        let saved = self.saved_us(up, hold, aim);
        Some(Scored {
            class,
            cost: signed(wait + margin + self.alone_us(ask, up, hold)) - signed(saved),
            wait,
            hold,
            up,
        })
    }

    /// What a request gives up that would run alone; a call without an adapter gives up nothing.
    fn alone_us(&self, ask: &RouteQuery<'_>, up: UpstreamIx, hold: Hold) -> u64 {
        let upstream = &self.upstreams[up.0 as usize];
        if ask.lora.is_none() || has_company(upstream, hold) {
            return 0;
        }
        self.pack.0 * MICROS
    }

    pub(super) fn class(&self, ask: &RouteQuery<'_>, up: UpstreamIx, now: Millis) -> Option<Class> {
        let upstream = self.upstreams.get(up.0 as usize)?;
        if upstream.pool != ask.pool {
            return None;
        }
        match upstream.standing() {
            Standing::Out => None,
            Standing::Behind => Some(Class::Suspect),
            Standing::Fresh if upstream.demotion.holds(now, &self.options) => Some(Class::Stalled),
            Standing::Fresh => Some(Class::Ready),
        }
    }

    pub(super) fn wait_us(
        &self,
        up: UpstreamIx,
        lora: Option<LoraIx>,
        now: Millis,
    ) -> Option<(u64, Hold)> {
        let upstream = self.upstreams.get(up.0 as usize)?;
        let hold = lora.map_or(Hold::Resident, |l| upstream.hold(l));
        let queue = queue_us(upstream, &self.options);
        let load = load_us(upstream, hold, self.load, &self.options, now);
        Some((queue + load, hold))
    }

    /// Least cost in the best class; among loads of like cost, the earliest home, so that entries agree.
    fn best(&self, scored: &[Scored]) -> Option<Scored> {
        let best = scored.iter().min_by_key(|s| (s.class, s.cost))?;
        if best.hold != Hold::Absent {
            return Some(*best);
        }
        let most = best.cost + signed(self.options.home_margin.0 * MICROS);
        let alike = |s: &&Scored| s.class == best.class && s.hold == Hold::Absent && s.cost <= most;
        scored.iter().find(alike).copied()
    }
}

fn signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX / 4)
}
