//! Load shedding: early refusal of requests that the weight store's backlog makes too late.
//!
//! A request for an absent adapter is admitted if there is time for one load. How many loads go
//! before it is known only to the entry that orders them, which tells the expected wait with each
//! answer to a bid. Requests that would wait too long are refused at that point, not when their
//! time runs out.

use std::cmp::Reverse;

use pumicecleat_types::{Millis, Reason};

use super::loading::Stage;
use super::queue::Lane;
use super::{JobId, Scheduler};

/// Retry-After of a shed request, as a multiple of the wait that it could not meet: more requests
/// arrive in the meantime, and a store that is slow or down tends to stay so.
const RETRY_WAIT_FACTOR: u64 = 2;

/// The load after a side's next one is expected 1/`ROUND_DIVISOR` of a round later, because some of
/// the loads ahead of it are shed too.
const ROUND_DIVISOR: u64 = 2;

/// Request that can't be met, with its Retry-After.
struct LateJob {
    id: JobId,
    retry_after: Millis,
}

impl Scheduler {
    /// Refuses the requests that can't be met if this side's next turn is `turn_wait` away and a
    /// round of all sides' turns takes `round`.
    pub(super) fn shed(&mut self, turn_wait: Millis, round: Millis, now: Millis) {
        if !matches!(self.loading.stage, Stage::Idle { .. }) {
            return;
        }
        for late in self.late_jobs(turn_wait, round, now) {
            self.refuse(late.id, Reason::Deadline, late.retry_after);
        }
    }

    fn late_jobs(&self, turn_wait: Millis, round: Millis, now: Millis) -> Vec<LateJob> {
        let load = self.estimate.load_time();
        let interval = Millis(round.0 / ROUND_DIVISOR).max(load);
        let mut late = Vec::new();
        let mut wait = turn_wait + load;
        for lane in self.absent_lanes() {
            let retry_after = Millis(wait.0 * RETRY_WAIT_FACTOR);
            let ids = lane.must_start_before(now + wait);
            late.extend(ids.map(|id| LateJob { id, retry_after }));
            wait = wait + interval;
        }
        late
    }

    /// Lanes of absent adapters, in the order in which they are loaded.
    fn absent_lanes(&self) -> Vec<&Lane> {
        let lanes = self.queue.adapter_lanes();
        let absent = lanes.filter(|(lora, _)| !self.residency.occupies_slot(*lora));
        let mut absent: Vec<&Lane> = absent.map(|(_, lane)| lane).collect();
        absent.sort_by_key(|lane| (Reverse(lane.count()), lane.oldest_arrival()));
        absent
    }
}
