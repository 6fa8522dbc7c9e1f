//! Refusals: at once where a deadline can't be met, later where it no longer can.

use pumicecleat_types::{Millis, Reason};

use super::{Job, JobRefusal, SHORTEST_RETRY, Scheduler};

/// Longest Retry-After.
const LONGEST_RETRY: Millis = Millis(30_000);

impl Scheduler {
    /// Whether the request can be met by its deadline.
    pub(super) fn admit(&self, job: &Job, now: Millis) -> Result<(), JobRefusal> {
        if let Some(reason) = self.closed {
            return Err(give_up(reason, SHORTEST_RETRY));
        }
        let failing = job.lora.and_then(|l| self.loading.backs_off(l, now));
        if let Some(span) = failing {
            return Err(give_up(Reason::LoadFailed, span));
        }
        let wait = self.wait(job);
        let service = if wait.0 > 0 {
            self.estimate.safe_service(job.tokens)
        } else {
            self.estimate.service(job.tokens)
        };
        let end = now + wait + service;
        if end > job.deadline {
            let late = end - job.deadline;
            return Err(give_up(Reason::Overloaded, late));
        }
        Ok(())
    }

    /// When the request must start to be met safely; or likely, if there is no time for safety.
    pub(super) fn start_by(&self, job: &Job, now: Millis) -> Millis {
        let safe = job.deadline - self.estimate.safe_service(job.tokens);
        if safe > now {
            return safe;
        }
        job.deadline - self.estimate.service(job.tokens)
    }

    /// Expected wait of a request that comes now.
    fn wait(&self, job: &Job) -> Millis {
        let queue = self.caller_wait(job.caller, job.claim);
        let absent = job.lora.filter(|l| !self.residency.ready(*l));
        let load = absent.map_or(Millis(0), |_| self.estimate.load());
        queue.max(load)
    }

    /// Finds a place in the queue: a full one gives up the request due last of the caller that has
    /// the most waiting per claim.
    pub(super) fn make_room(&mut self, job: &Job) -> Result<(), JobRefusal> {
        if self.queue.len() < self.options.max_queue as usize {
            return Ok(());
        }
        let wait = self
            .estimate
            .drain(self.queue.tokens(), self.options.max_batch);
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

fn give_up(reason: Reason, retry: Millis) -> JobRefusal {
    let retry = retry.clamp(SHORTEST_RETRY, LONGEST_RETRY);
    JobRefusal {
        reason,
        retry_after: retry,
    }
}
