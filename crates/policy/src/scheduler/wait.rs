//! Expected waits for room in the engine's batch, by the callers' shares.

use pumicecleat_types::Millis;

use super::Scheduler;
use super::queue::Lane;
use crate::CallerIx;

impl Scheduler {
    /// Median wait over the recently active callers.
    ///
    /// Entries choose an upstream by it for all callers alike. A mean over the waiting work would
    /// be dominated by a caller that floods the queue, and would drive the others' requests away
    /// from the upstreams that have their adapters.
    pub(super) fn median_wait(&self, now: Millis) -> Millis {
        let waiting = self.queue.backlogs().count();
        let active = self.shares.active_callers(now).max(waiting);
        let idle = active - waiting;
        let middle = active.saturating_sub(1) / 2;
        if middle < idle || active == 0 {
            return self.newcomer_wait();
        }
        let callers = self.queue.backlogs();
        let mut waits: Vec<Millis> = callers
            .map(|(caller, backlog)| self.caller_wait(caller, backlog.claim))
            .collect();
        waits.sort_unstable();
        waits.get(middle - idle).copied().unwrap_or_default()
    }

    /// Wait of a caller's next request behind those that go first by the shares. It is at most the
    /// wait for all runnable requests, and less if the caller's backlog is small for its claim.
    pub(super) fn caller_wait(&self, caller: CallerIx, claim: u32) -> Millis {
        let own = self.queue.backlog(caller).tokens;
        let others: u32 = self
            .queue
            .backlogs()
            .filter(|(c, _)| *c != caller)
            .map(|(_, b)| b.claim)
            .sum();
        let claim = u64::from(claim.max(1));
        let by_share = own * (claim + u64::from(others)) / claim;
        let wait = self.estimate.drain_time(by_share, self.options.max_batch);
        let wait = wait.max(self.newcomer_wait());
        wait.min(self.runnable_wait())
    }

    /// Wait of a caller without backlog: one request of each waiting caller goes first.
    fn newcomer_wait(&self) -> Millis {
        let jobs = self.queue.len() as u64;
        if jobs == 0 {
            return Millis(0);
        }
        let round = self.queue.tokens() * self.queue.backlogs().count() as u64 / jobs;
        let wait = self.estimate.drain_time(round, self.options.max_batch);
        wait.min(self.runnable_wait())
    }

    /// Wait until all requests that need no load have been sent.
    pub(super) fn runnable_wait(&self) -> Millis {
        let count: usize = self.runnable_lanes().map(Lane::count).sum();
        let busy = self.running() as usize + count;
        if busy < self.options.max_batch as usize {
            return Millis(0);
        }
        let tokens: u64 = self.runnable_lanes().map(Lane::tokens).sum();
        self.estimate.drain_time(tokens, self.options.max_batch)
    }
}
