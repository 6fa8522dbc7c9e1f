//! Rendezvous hashing for work that several upstreams can do, but that should stay at one of them.

use pumicecleat_types::Millis;

use super::Router;
use super::choose::{CandidateClass, MICROS_PER_MILLI};
use super::key::seeded_hash;
use super::query::{RouteQuery, SelectedUpstream};
use crate::UpstreamIx;

/// An upstream is selected if its wait is at most one part in this many of the time left, so that
/// there is time for another attempt elsewhere.
const MAX_WAIT_DIVISOR: u64 = 2;

impl Router {
    /// Selects the ready upstream of the pool with the highest rendezvous rank for `key`. Entries
    /// that know the same upstreams select the same one. `None` if no upstream is ready or the wait
    /// is too long at each.
    #[must_use]
    pub fn choose_by_rank(
        &self,
        query: &RouteQuery<'_>,
        key: u64,
        now: Millis,
    ) -> Option<SelectedUpstream> {
        let pool = self.pools.get(query.pool.0 as usize)?;
        let untried = pool.fresh.iter().filter(|u| !query.tried.contains(u));
        let ready = untried.filter(|u| self.class(query, **u, now) == Some(CandidateClass::Ready));
        let selected = ready.filter_map(|&up| self.select_timely(query, up, now));
        selected.max_by_key(|p| self.rendezvous_rank(p.up, key))
    }

    fn select_timely(
        &self,
        query: &RouteQuery<'_>,
        up: UpstreamIx,
        now: Millis,
    ) -> Option<SelectedUpstream> {
        let (wait, _) = self.expected_wait_us(up, query.lora, now)?;
        let wait = Millis(wait.div_ceil(MICROS_PER_MILLI));
        let resident = true;
        (wait.0 <= query.time_left.0 / MAX_WAIT_DIVISOR).then_some(SelectedUpstream {
            up,
            wait,
            resident,
        })
    }

    pub(super) fn rendezvous_rank(&self, up: UpstreamIx, key: u64) -> Option<u64> {
        let upstream = self.upstreams.get(up.0 as usize)?;
        Some(seeded_hash(upstream.key, key))
    }
}
