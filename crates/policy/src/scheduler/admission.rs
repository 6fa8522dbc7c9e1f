//! Refusals: at once where a deadline can't be met, later where it no longer can.

use pumicecleat_types::{Millis, Reason};

use super::queue::Lane;
use super::{GiveUp, Job, SHORTEST_RETRY, Scheduler};
use crate::CallerIx;

/// Longest Retry-After.
const LONGEST_RETRY: Millis = Millis(30_000);

impl Scheduler {
    /// Whether the request can be met by its deadline.
    pub(super) fn admit(&self, job: &Job, now: Millis) -> Result<(), GiveUp> {
        if let Some(reason) = self.closed {
            return Err(give_up(reason, SHORTEST_RETRY));
        }
        let failing = job.lora.and_then(|l| self.loading.backs_off(l, now));
        if let Some(span) = failing {
            return Err(give_up(Reason::LoadFailed, span));
        }
        let service = self.estimate.service(u64::from(job.tokens));
        let end = now + self.wait(job) + service;
        if end > job.deadline {
            let late = end - job.deadline;
            return Err(give_up(Reason::Overloaded, late));
        }
        Ok(())
    }

    /// Expected wait of a request that comes now.
    fn wait(&self, job: &Job) -> Millis {
        let queue = self.queue_wait(job.caller, job.claim);
        let absent = job.lora.filter(|l| !self.residency.ready(*l));
        let load = absent.map_or(Millis(0), |_| self.estimate.load());
        queue.max(load)
    }

    /// Wait until the engine has room for one more request that needs no load.
    pub(super) fn room_wait(&self) -> Millis {
        let count: usize = self.runnable().map(Lane::count).sum();
        let busy = self.running() as usize + count;
        if busy < self.options.batch as usize {
            return Millis(0);
        }
        let tokens: u64 = self.runnable().map(Lane::tokens).sum();
        self.estimate.drain(tokens, self.options.batch)
    }

    /// Wait behind what goes first by the shares: all that needs no load, or less where the
    /// caller's own backlog is small against its claim.
    fn queue_wait(&self, caller: CallerIx, claim: u32) -> Millis {
        let own = self.queue.backlog(caller).tokens;
        let others: u32 = self
            .queue
            .callers()
            .filter(|(c, _)| *c != caller)
            .map(|(_, b)| b.claim)
            .sum();
        let claim = u64::from(claim.max(1));
        let by_share = own * (claim + u64::from(others)) / claim;
        let wait = self.estimate.drain(by_share, self.options.batch);
        wait.min(self.room_wait())
    }

    /// Finds a place in the queue: a full one gives up the request due last of the caller that has
    /// the most waiting per claim.
    pub(super) fn make_room(&mut self, job: &Job) -> Result<(), GiveUp> {
        if self.queue.len() < self.options.queue as usize {
            return Ok(());
        }
        let wait = self.estimate.drain(self.queue.tokens(), self.options.batch);
        let largest = self.queue.largest().filter(|c| *c != job.caller);
        let last = largest.and_then(|c| self.queue.last_of(c));
        let Some(last) = last else {
            return Err(give_up(Reason::Overloaded, wait));
        };
        self.refuse(last, Reason::Overloaded, wait);
        Ok(())
    }

    /// Refuses what can no longer be met.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some((start, id)) = self.queue.first_start() {
            if start >= now {
                return;
            }
            self.refuse(id, Reason::Deadline, self.estimate.load());
        }
    }
}

fn give_up(reason: Reason, retry: Millis) -> GiveUp {
    let retry = retry.clamp(SHORTEST_RETRY, LONGEST_RETRY);
    GiveUp { reason, retry }
}
