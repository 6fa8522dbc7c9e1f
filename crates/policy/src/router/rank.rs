//! A home for work that several upstreams could do, but that is best done by the same one.

use pumicecleat_types::Millis;

use super::Router;
use super::ask::{RouteQuery, SelectedUpstream};
use super::choose::{Class, MICROS};
use super::key::point;
use crate::UpstreamIx;

/// Part of the time left that the wait at a home may take, so that there is some for another.
const SHARE: u64 = 2;

impl Router {
    /// Of the pool's upstreams that are ready for an ask, the first by rendezvous rank for `home`:
    /// all entries that hear of the same upstreams choose the same. `None` if the wait is too long
    /// at each.
    #[must_use]
    pub fn choose_by_rank(
        &self,
        ask: &RouteQuery<'_>,
        home: u64,
        now: Millis,
    ) -> Option<SelectedUpstream> {
        let pool = self.pools.get(ask.pool.0 as usize)?;
        let open = pool.fresh.iter().filter(|u| !ask.tried.contains(u));
        let ready = open.filter(|u| self.class(ask, **u, now) == Some(Class::Ready));
        let picks = ready.filter_map(|&up| self.timely(ask, up, now));
        picks.max_by_key(|p| self.rank(p.up, home))
    }

    fn timely(
        &self,
        ask: &RouteQuery<'_>,
        up: UpstreamIx,
        now: Millis,
    ) -> Option<SelectedUpstream> {
        let (wait, _) = self.wait_us(up, ask.lora, now)?;
        let wait = Millis(wait.div_ceil(MICROS));
        let resident = true;
        (wait.0 <= ask.time_left.0 / SHARE).then_some(SelectedUpstream { up, wait, resident })
    }

    pub(super) fn rank(&self, up: UpstreamIx, home: u64) -> Option<u64> {
        let upstream = self.upstreams.get(up.0 as usize)?;
        Some(point(upstream.key, home))
    }
}
