//! Refusing at once what the weight store's backlog makes too late.
//!
//! A request for an absent adapter is admitted if one load fits into its time. How many loads go
//! before, only the entry that keeps their order knows, and tells with each answer to a bid. What can't
//! be met by that is refused then, not when its time has run out.

use std::cmp::Reverse;

use pumicecleat_types::{Millis, Reason};

use super::loading::Stage;
use super::queue::Lane;
use super::{JobId, Scheduler};

/// A refused caller stays away for this many times the wait that was in its way: others keep coming
/// meanwhile, and a store that is slow or down tends to stay so.
const AWAY: u64 = 2;

/// A side's next adapter is counted on after one part in this of a round: some of those that are to go
/// before it are refused too.
const PART: u64 = 2;

/// A request that comes too late, and when to come back.
struct Late {
    id: JobId,
    retry: Millis,
}

impl Scheduler {
    /// Refuses what can't be met if the next turn is `turn` off and all sides' turns take a `round`.
    pub(super) fn shed(&mut self, turn: Millis, round: Millis, now: Millis) {
        if !matches!(self.loading.stage, Stage::Idle { .. }) {
            return;
        }
        for late in self.late(turn, round, now) {
            self.refuse(late.id, Reason::Deadline, late.retry);
        }
    }

    fn late(&self, turn: Millis, round: Millis, now: Millis) -> Vec<Late> {
        let load = self.estimate.load();
        let next = Millis(round.0 / PART).max(load);
        let mut late = Vec::new();
        let mut wait = turn + load;
        for lane in self.absent() {
            let retry = Millis(wait.0 * AWAY);
            let ids = lane.late(now + wait);
            late.extend(ids.map(|id| Late { id, retry }));
            wait = wait + next;
        }
        late
    }

    /// Lanes of absent adapters, in the order in which they are loaded.
    fn absent(&self) -> Vec<&Lane> {
        let lanes = self.queue.lanes();
        let absent = lanes.filter(|(lora, _)| !self.residency.holds(*lora));
        let mut absent: Vec<&Lane> = absent.map(|(_, lane)| lane).collect();
        absent.sort_by_key(|lane| (Reverse(lane.count()), lane.oldest()));
        absent
    }
}
