//! Scheduling decisions of one side for its upstream: queueing, fair shares, batching and adapter
//! residency.
//!
//! A [`Scheduler`] is told of events (a request arrived, an answer ended, a load ended) and returns
//! its actions when polled. It holds each request from `submit` until it orders the send or refuses
//! it. An adapter with a sent, unfinished request is pinned, and an unload is never ordered for a
//! pinned adapter.
//!
//! - `queue` holds the waiting requests, `share` the work charged to each caller.
//! - `send` picks the requests to send to the engine, and delays them to fill a batch.
//! - `demand` and `residency` choose the adapter to evict, `drain` frees a slot when all are in
//!   use; `loading` tracks the load in progress.
//! - `admission` refuses a request on arrival if its deadline can't be met; `shed` refuses more
//!   when an entry tells how long the wait for a load is.

mod admission;
mod demand;
mod drain;
mod estimate;
mod job;
mod load;
mod loading;
mod options;
mod queue;
mod residency;
mod send;
mod share;
mod shed;
mod view;
mod wait;

use std::collections::BTreeMap;

use pumicecleat_types::{LoadTurn, Millis, Reason};

use crate::LoraIx;
use demand::Demand;
use estimate::Estimate;
use loading::{Loading, Stage};
use queue::Queue;
use residency::Residency;
use share::Shares;

pub use job::{Action, Bid, Job, JobId, JobRefusal, LoadOutcome};
pub use options::{ObjectiveWeights, SchedulerOptions};

/// Shortest Retry-After, so that callers don't retry at once.
const MIN_RETRY_AFTER: Millis = Millis(250);

/// A request at the engine.
#[derive(Clone, Copy, Debug)]
struct SentJob {
    lora: Option<LoraIx>,
    tokens: u32,
    sent_at: Millis,
}

/// Scheduler of one side; see the module documentation.
#[derive(Clone, Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    estimate: Estimate,
    queue: Queue,
    shares: Shares,
    sent: BTreeMap<JobId, SentJob>,
    /// Requests at the engine that this side did not send, counted by adapter.
    unaccounted: BTreeMap<LoraIx, u32>,
    residency: Residency,
    demand: Demand,
    loading: Loading,
    /// Adapter that gets no new requests, so that its slot can be freed.
    draining: Option<LoraIx>,
    actions: Vec<Action>,
    /// Why all requests are refused, while the scheduler is closed.
    closed: Option<Reason>,
    /// Time of the latest poll.
    polled_at: Millis,
}

impl Scheduler {
    /// Creates a scheduler for an engine with no resident adapters.
    #[must_use]
    pub fn new_ext(options: SchedulerOptions) -> Self {
        Self {
            options,
            estimate: Estimate::new(&options),
            queue: Queue::default(),
            shares: Shares::default(),
            sent: BTreeMap::new(),
            unaccounted: BTreeMap::new(),
            residency: Residency::new(options.slots),
            demand: Demand::default(),
            loading: Loading::new(),
            draining: None,
            actions: Vec::new(),
            closed: None,
            polled_at: Millis(0),
        }
    }

    /// Replaces the options, keeping the learned times. If there are fewer slots than before, an
    /// excess adapter stays resident until its slot is needed.
    pub fn set_options(&mut self, options: SchedulerOptions) {
        self.options = options;
        self.residency.set_capacity(options.slots);
    }

    /// Queues a request, to be sent or refused by a later poll.
    ///
    /// # Errors
    /// [`JobRefusal`] if the deadline can't be met, or the queue has no room for this caller.
    pub fn submit(&mut self, job: Job, now: Millis) -> Result<(), JobRefusal> {
        if let Some(lora) = job.lora {
            self.demand.record(lora, now);
        }
        self.admit(&job, now)?;
        self.make_room(&job)?;
        let backlog = self.queue.backlog(job.caller).jobs > 0;
        self.shares.record_arrival(job.caller, backlog, now);
        let start_by = self.start_by(&job, now);
        self.queue.add(job, start_by);
        Ok(())
    }

    /// Returns the actions that are due; the process must carry out all of them. Call this after
    /// reporting any event, and at [`next_wake`](Self::next_wake).
    pub fn poll(&mut self, now: Millis) -> Vec<Action> {
        self.polled_at = now;
        self.expire(now);
        self.update_draining(now);
        self.send(now);
        self.advance_load(now);
        std::mem::take(&mut self.actions)
    }

    /// When to poll next if no event comes before; valid right after a poll.
    #[must_use]
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        let expiry = self.queue.first_start_by().map(|(at, _)| at + Millis(1));
        let wakes = [
            expiry,
            self.hold_wake(now),
            self.load_wake(now),
            self.drain_wake(now),
        ];
        wakes.into_iter().flatten().min().map(|at| at.max(now))
    }

    /// A sent request ended. `whole` is false if its answer was cut or the engine never accepted
    /// it.
    pub fn finished(&mut self, id: JobId, whole: bool, now: Millis) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        if let Some(lora) = sent.lora {
            self.residency.unpin(lora);
        }
        if whole {
            self.estimate
                .record_answer(sent.tokens, now.since(sent.sent_at));
        }
    }

    /// Withdraws a waiting request; `false` if it is not waiting, for example because it was sent.
    pub fn cancel(&mut self, id: JobId) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Whether the request is in the queue.
    #[must_use]
    pub fn is_waiting(&self, id: JobId) -> bool {
        self.queue.contains(id)
    }

    /// An entry answered the bid with a turn, or with the wait until the next bid.
    pub fn bid_answered(&mut self, turn: LoadTurn, now: Millis) {
        self.loading.bid_answered(turn, now);
        if let LoadTurn::Wait {
            turn_ms, round_ms, ..
        } = turn
        {
            self.shed(Millis(turn_ms), Millis(round_ms), now);
        }
    }

    /// An entry asks for a bid earlier than it last told this side to bid.
    pub fn bid_requested(&mut self, now: Millis) {
        self.loading.bid_requested(now);
    }

    /// Whether a bid has been made and not answered yet.
    #[must_use]
    pub fn is_bid_pending(&self) -> bool {
        self.loading.bid_pending
    }

    /// No entry answered the bid. `roll` is a random number that sets the delay before loading
    /// without a turn.
    pub fn bid_unanswered(&mut self, roll: u64, now: Millis) {
        self.loading
            .bid_unanswered(self.options.expected_load_time, roll, now);
    }

    /// An ordered load ended.
    pub fn loaded(&mut self, lora: LoraIx, end: LoadOutcome, now: Millis) {
        if end == LoadOutcome::Done {
            self.loading.clear_back_off(lora);
            self.residency.insert(lora, 0, now);
        }
        let Some(ordered_at) = self.loading.ordered_at(lora) else {
            return;
        };
        self.loading.stage = Stage::Idle { bid_at: now };
        match end {
            LoadOutcome::Done => {
                let took = now.since(ordered_at);
                self.loading
                    .load_succeeded(took, self.options.expected_load_time);
                self.estimate.record_load(took);
            }
            LoadOutcome::Failed => self.load_failed(lora, now),
            LoadOutcome::Busy { retry_after } => {
                let bid_at = now + retry_after;
                self.loading.stage = Stage::Idle { bid_at };
            }
        }
    }

    /// An ordered unload ended; `gone` is false if the engine kept the adapter.
    pub fn unloaded(&mut self, lora: LoraIx, gone: bool, now: Millis) {
        self.residency.end_eviction(lora, gone, now);
        if matches!(self.loading.stage, Stage::Evicting { victim, .. } if victim == lora) {
            self.eviction_ended(gone, now);
        }
    }

    /// Resets the state after a restart of the side or its engine. `resident` lists the resident
    /// adapters, `unaccounted` the adapter of each request in flight that this side did not send.
    /// Waiting requests stay queued; sent ones are dropped.
    pub fn reset(&mut self, resident: &[LoraIx], unaccounted: &[LoraIx], now: Millis) {
        self.sent.clear();
        self.residency.clear();
        self.loading = Loading::new();
        self.unaccounted.clear();
        for lora in resident {
            self.residency.insert(*lora, 0, now);
        }
        for lora in unaccounted {
            self.residency.insert(*lora, 1, now);
            *self.unaccounted.entry(*lora).or_default() += 1;
        }
    }

    /// A request that this side did not send ended at the engine.
    pub fn unaccounted_finished(&mut self, lora: LoraIx) {
        let Some(count) = self.unaccounted.get_mut(&lora) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.unaccounted.remove(&lora);
        }
        self.residency.unpin(lora);
    }

    /// Refuses new and waiting requests with `reason`, as when the upstream is leaving or down.
    /// Sent requests are left to finish.
    pub fn close(&mut self, reason: Reason) {
        self.closed = Some(reason);
        for id in self.queue.ids() {
            self.refuse(id, reason, MIN_RETRY_AFTER);
        }
    }

    /// Accepts requests again after [`close`](Self::close).
    pub fn reopen(&mut self) {
        self.closed = None;
    }

    /// Records the engine's reported step time, in microseconds.
    pub fn set_step_time(&mut self, step_us: u32) {
        self.estimate.set_step_us(step_us);
    }

    /// Removes a waiting request from the queue and orders its refusal.
    fn refuse(&mut self, id: JobId, reason: Reason, retry_after: Millis) {
        if self.queue.remove(id).is_some() {
            let retry_after = retry_after.max(MIN_RETRY_AFTER);
            let refusal = JobRefusal {
                reason,
                retry_after,
            };
            self.actions.push(Action::Refuse(id, refusal));
        }
    }
}
