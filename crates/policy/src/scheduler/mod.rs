//! Decisions of one side for its upstream: queue, shares, batches and residency.
//!
//! A [`Scheduler`] is told what happens (a request came, an answer ended, a load ended) and gives
//! its orders when polled. It holds each request from `submit` until it orders the send or refuses
//! it; an adapter with a sent, unfinished request is pinned, and no pinned adapter is ever ordered
//! to be unloaded.
//!
//! - `queue` keeps the waiting requests, `share` the work that each caller has had.
//! - `send` picks what goes to the engine, and holds requests back for a fuller batch.
//! - `demand` and `residency` tell which adapter to evict, `drain` frees a slot where all are in
//!   use; `loading` is the load in hand.
//! - `admission` refuses at once what can't be met by its deadline.

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

/// Shortest Retry-After, so that callers don't come back at once.
const SHORTEST_RETRY: Millis = Millis(250);

/// A request at the engine.
#[derive(Clone, Copy, Debug)]
struct Sent {
    lora: Option<LoraIx>,
    tokens: u32,
    at: Millis,
}

/// Decisions of one side; see the module.
#[derive(Clone, Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    estimate: Estimate,
    queue: Queue,
    shares: Shares,
    sent: BTreeMap<JobId, Sent>,
    /// Requests at the engine that this side did not send, by adapter.
    unaccounted: BTreeMap<LoraIx, u32>,
    residency: Residency,
    demand: Demand,
    loading: Loading,
    /// Adapter that gets no new requests, to free its slot.
    draining: Option<LoraIx>,
    orders: Vec<Action>,
    closed: Option<Reason>,
    /// Time of the latest poll.
    seen: Millis,
}

impl Scheduler {
    /// Scheduler of an engine with nothing resident.
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
            orders: Vec::new(),
            closed: None,
            seen: Millis(0),
        }
    }

    /// Takes new slots, batch, queue and weights; what was learned stays, and nothing resident is
    /// unloaded for fewer slots before its place is wanted.
    pub fn set_options(&mut self, options: SchedulerOptions) {
        self.options = options;
        self.residency.set_slots(options.slots);
    }

    /// Takes a request in, to be sent or refused by a later poll.
    ///
    /// # Errors
    /// [`JobRefusal`] if it can't be met by its deadline, or the queue has no place for this caller.
    pub fn submit(&mut self, job: Job, now: Millis) -> Result<(), JobRefusal> {
        if let Some(lora) = job.lora {
            self.demand.hit(lora, now);
        }
        self.admit(&job, now)?;
        self.make_room(&job)?;
        let backlog = self.queue.backlog(job.caller).jobs > 0;
        self.shares.arrive(job.caller, backlog, now);
        let start = self.start_by(&job, now);
        self.queue.add(job, start);
        Ok(())
    }

    /// Orders that are due, to be carried out every one. To be called after every other call that
    /// tells something, and at [`next_wake`](Self::next_wake).
    pub fn poll(&mut self, now: Millis) -> Vec<Action> {
        self.seen = now;
        self.expire(now);
        self.drain(now);
        self.send(now);
        self.load(now);
        std::mem::take(&mut self.orders)
    }

    /// When to poll next, if nothing happens before; to be asked after a poll.
    #[must_use]
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        let expiry = self.queue.first_start().map(|(at, _)| at + Millis(1));
        let wakes = [
            expiry,
            self.hold_wake(now),
            self.load_wake(now),
            self.drain_wake(now),
        ];
        wakes.into_iter().flatten().min().map(|at| at.max(now))
    }

    /// A sent request ended: whole, broken or never accepted by the engine.
    pub fn finished(&mut self, id: JobId, whole: bool, now: Millis) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        if let Some(lora) = sent.lora {
            self.residency.unpin(lora);
        }
        if whole {
            self.estimate.answered(sent.tokens, now.since(sent.at));
        }
    }

    /// Withdraws a waiting request; `false` if it does not wait (any more), as when it was sent.
    pub fn cancel(&mut self, id: JobId) -> bool {
        self.queue.take(id).is_some()
    }

    /// Whether a request waits here.
    #[must_use]
    pub fn is_waiting(&self, id: JobId) -> bool {
        self.queue.has(id)
    }

    /// An entry answered the bid.
    pub fn bid_answered(&mut self, turn: LoadTurn, now: Millis) {
        self.loading.turn(turn, now);
        if let LoadTurn::Wait {
            turn_ms, round_ms, ..
        } = turn
        {
            self.shed(Millis(turn_ms), Millis(round_ms), now);
        }
    }

    /// An entry calls for a bid before its time.
    pub fn bid_requested(&mut self, now: Millis) {
        self.loading.called(now);
    }

    /// Whether a bid is out.
    #[must_use]
    pub fn is_bid_pending(&self) -> bool {
        self.loading.asking
    }

    /// No entry answered the bid; `roll` is a random number.
    pub fn bid_unanswered(&mut self, roll: u64, now: Millis) {
        self.loading
            .no_turn(self.options.expected_load_time, roll, now);
    }

    /// An ordered load ended.
    pub fn loaded(&mut self, lora: LoraIx, end: LoadOutcome, now: Millis) {
        if end == LoadOutcome::Done {
            self.loading.forgive(lora);
            self.residency.put(lora, 0, now);
        }
        let Some(since) = self.loading.since(lora) else {
            return;
        };
        self.loading.stage = Stage::Idle { next: now };
        match end {
            LoadOutcome::Done => {
                let took = now.since(since);
                self.loading.took(took, self.options.expected_load_time);
                self.estimate.loaded(took);
            }
            LoadOutcome::Failed => self.fail(lora, now),
            LoadOutcome::Busy { retry_after: retry } => {
                let next = now + retry;
                self.loading.stage = Stage::Idle { next };
            }
        }
    }

    /// An ordered unload ended; `gone` tells whether the engine did it.
    pub fn unloaded(&mut self, lora: LoraIx, gone: bool, now: Millis) {
        self.residency.evicted(lora, gone, now);
        if matches!(self.loading.stage, Stage::Evicting { victim, .. } if victim == lora) {
            self.freed(gone, now);
        }
    }

    /// The side or its engine restarted: what is resident, and the adapters of requests in flight
    /// that this side did not send, one item each. Waiting requests stay; sent ones are forgotten.
    pub fn reset(&mut self, resident: &[LoraIx], unaccounted: &[LoraIx], now: Millis) {
        self.sent.clear();
        self.residency.clear();
        self.loading = Loading::new();
        self.unaccounted.clear();
        for lora in resident {
            self.residency.put(*lora, 0, now);
        }
        for lora in unaccounted {
            self.residency.put(*lora, 1, now);
            *self.unaccounted.entry(*lora).or_default() += 1;
        }
    }

    /// A request that this side did not send has ended at the engine.
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

    /// Takes no new requests, and refuses those that wait, as when the upstream is leaving or down;
    /// sent ones end in their own time.
    pub fn close(&mut self, reason: Reason) {
        self.closed = Some(reason);
        for id in self.queue.ids() {
            self.refuse(id, reason, SHORTEST_RETRY);
        }
    }

    /// Takes requests again.
    pub fn reopen(&mut self) {
        self.closed = None;
    }

    /// The engine tells its step time, microseconds.
    pub fn set_step_time(&mut self, step_us: u32) {
        self.estimate.stepped(step_us);
    }

    /// Takes a waiting request out and orders its refusal.
    fn refuse(&mut self, id: JobId, reason: Reason, retry: Millis) {
        if self.queue.take(id).is_some() {
            let retry = retry.max(SHORTEST_RETRY);
            let give_up = JobRefusal {
                reason,
                retry_after: retry,
            };
            self.orders.push(Action::Refuse(id, give_up));
        }
    }
}
