//! Admission control: refuses a request on arrival if its deadline can't be met, and later once it
//! no longer can.

use pumicecleat_types::{Millis, Reason};

use super::{Job, JobRefusal, MIN_RETRY_AFTER, Scheduler};

/// Longest Retry-After.
const MAX_RETRY_AFTER: Millis = Millis(30_000);

impl Scheduler {
    /// Checks that the request can be met by its deadline.
    pub(super) fn admit(&self, job: &Job, now: Millis) -> Result<(), JobRefusal> {
        if let Some(reason) = self.closed {
            return Err(refusal(reason, MIN_RETRY_AFTER));
        }
        let back_off = job.lora.and_then(|l| self.loading.back_off_left(l, now));
        if let Some(left) = back_off {
            return Err(refusal(Reason::LoadFailed, left));
        }
        let wait = self.expected_wait(job);
        let service = if wait.0 > 0 {
            self.estimate.safe_service_time(job.tokens)
        } else {
            self.estimate.service_time(job.tokens)
        };
        let end = now + wait + service;
        if end > job.deadline {
            let late = end - job.deadline;
            return Err(refusal(Reason::Overloaded, late));
        }
        Ok(())
    }

    /// Latest time to send the request so that it meets its deadline with a safety margin; without
    /// the margin if that time has passed already.
    pub(super) fn start_by(&self, job: &Job, now: Millis) -> Millis {
        let safe = job.deadline - self.estimate.safe_service_time(job.tokens);
        if safe > now {
            return safe;
        }
        job.deadline - self.estimate.service_time(job.tokens)
    }

    /// Expected wait of a request that arrives now.
    fn expected_wait(&self, job: &Job) -> Millis {
        let queue = self.caller_wait(job.caller, job.claim);
        let absent = job.lora.filter(|l| !self.residency.is_ready(*l));
        let load = absent.map_or(Millis(0), |_| self.estimate.load_time());
        queue.max(load)
    }

    /// Makes room in the queue: a full one refuses the request with the latest deadline of the
    /// caller that has the most requests waiting per claim.
    pub(super) fn make_room(&mut self, job: &Job) -> Result<(), JobRefusal> {
        if self.queue.len() < self.options.max_queue as usize {
            return Ok(());
        }
        let wait = self
            .estimate
            .drain_time(self.queue.tokens(), self.options.max_batch);
        let largest = self.queue.largest_backlog().filter(|c| *c != job.caller);
        let last = largest.and_then(|c| self.queue.last_due_of(c));
        let Some(last) = last else {
            return Err(refusal(Reason::Overloaded, wait));
        };
        self.refuse(last, Reason::Overloaded, wait);
        Ok(())
    }

    /// Refuses requests whose latest start time has passed.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some((start_by, id)) = self.queue.first_start_by() {
            if start_by >= now {
                return;
            }
            self.refuse(id, Reason::Deadline, self.estimate.load_time());
        }
    }
}

fn refusal(reason: Reason, retry_after: Millis) -> JobRefusal {
    let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    JobRefusal {
        reason,
        retry_after,
    }
}
