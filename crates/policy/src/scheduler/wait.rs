//! Expected waits for room at the engine, by the shares.

use pumicecleat_types::Millis;

use super::Scheduler;
use super::queue::Lane;
use crate::CallerIx;

impl Scheduler {
    /// Wait of a typical caller: the median over those active of late.
    ///
    /// Entries choose by it for every caller alike. A mean over the waiting work would be the wait
    /// of whoever floods, and would drive the others' requests away from their adapters.
    pub(super) fn typical_wait(&self, now: Millis) -> Millis {
        let waiting = self.queue.callers().count();
        let active = self.shares.active(now).max(waiting);
        let idle = active - waiting;
        let middle = active.saturating_sub(1) / 2;
        if middle < idle || active == 0 {
            return self.newcomer_wait();
        }
        let callers = self.queue.callers();
        let mut waits: Vec<Millis> = callers
            .map(|(caller, backlog)| self.caller_wait(caller, backlog.claim))
            .collect();
        waits.sort_unstable();
        waits.get(middle - idle).copied().unwrap_or_default()
    }

    /// Wait behind what goes first by the shares: all that needs no load, or less where the
    /// caller's own backlog is small against its claim.
    pub(super) fn caller_wait(&self, caller: CallerIx, claim: u32) -> Millis {
        let own = self.queue.backlog(caller).tokens;
        let others: u32 = self
            .queue
            .callers()
            .filter(|(c, _)| *c != caller)
            .map(|(_, b)| b.claim)
            .sum();
        let claim = u64::from(claim.max(1));
        let by_share = own * (claim + u64::from(others)) / claim;
        let wait = self.estimate.drain(by_share, self.options.max_batch);
        let wait = wait.max(self.newcomer_wait());
        wait.min(self.room_wait())
    }

    /// Wait of a caller without backlog: one request of each caller that waits goes first.
    fn newcomer_wait(&self) -> Millis {
        let jobs = self.queue.len() as u64;
        if jobs == 0 {
            return Millis(0);
        }
        let round = self.queue.tokens() * self.queue.callers().count() as u64 / jobs;
        let wait = self.estimate.drain(round, self.options.max_batch);
        wait.min(self.room_wait())
    }

    /// Wait until all that needs no load has been sent.
    pub(super) fn room_wait(&self) -> Millis {
        let count: usize = self.runnable().map(Lane::count).sum();
        let busy = self.running() as usize + count;
        if busy < self.options.max_batch as usize {
            return Millis(0);
        }
        let tokens: u64 = self.runnable().map(Lane::tokens).sum();
        self.estimate.drain(tokens, self.options.max_batch)
    }
}
