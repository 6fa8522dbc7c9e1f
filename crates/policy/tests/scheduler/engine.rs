//! A simple engine model that drives a scheduler and checks every action it orders.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_policy::{
    Action, CallerIx, Job, JobId, LoadOutcome, LoraIx, ObjectiveWeights, Scheduler,
    SchedulerOptions,
};
use pumicecleat_types::{LoadTurn, Millis};

/// Number of adapters; a request with this index needs none.
pub const LORAS: u32 = 6;

/// Engine model with its scheduler.
pub struct Engine {
    pub scheduler: Scheduler,
    pub now: Millis,
    pub waiting: BTreeMap<JobId, Option<LoraIx>>,
    slots: usize,
    batch: usize,
    resident: BTreeSet<LoraIx>,
    running: BTreeMap<JobId, Option<LoraIx>>,
    unaccounted: Vec<LoraIx>,
    loading: Option<LoraIx>,
    unloading: Option<LoraIx>,
    bid_pending: bool,
    last_id: u64,
}

impl Engine {
    pub fn new(slots: u32, batch: u32, weight: u32) -> Self {
        let options = SchedulerOptions {
            slots,
            max_batch: batch,
            max_queue: 16,
            weights: ObjectiveWeights {
                stall: 100 - weight,
                batch: weight,
            },
            ..SchedulerOptions::default()
        };
        Self {
            scheduler: Scheduler::new_ext(options),
            now: Millis(0),
            waiting: BTreeMap::new(),
            slots: slots as usize,
            batch: batch as usize,
            resident: BTreeSet::new(),
            running: BTreeMap::new(),
            unaccounted: Vec::new(),
            loading: None,
            unloading: None,
            bid_pending: false,
            last_id: 0,
        }
    }

    pub fn submit(&mut self, lora: u32, caller: u32, time_left: u64, tokens: u32) {
        self.last_id += 1;
        let id = JobId(self.last_id);
        let lora = (lora < LORAS).then_some(LoraIx(lora));
        let job = Job {
            id,
            lora,
            caller: CallerIx(caller),
            claim: caller + 1,
            priority: 0,
            deadline: self.now + Millis(time_left),
            arrived: self.now,
            tokens,
        };
        if self.scheduler.submit(job, self.now).is_ok() {
            self.waiting.insert(id, lora);
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now = self.now + Millis(ms);
    }

    pub fn finish(&mut self, nth: usize, whole: bool) {
        let count = self.running.len().max(1);
        let id = self.running.keys().nth(nth % count).copied();
        if let Some(id) = id {
            self.running.remove(&id);
            self.scheduler.finished(id, whole, self.now);
        }
    }

    pub fn cancel(&mut self, nth: usize) {
        let count = self.waiting.len().max(1);
        let id = self.waiting.keys().nth(nth % count).copied();
        if let Some(id) = id {
            assert!(
                self.scheduler.cancel(id),
                "{id:?} is waiting but was not found"
            );
            assert!(!self.scheduler.cancel(id), "{id:?} cancelled twice");
            self.waiting.remove(&id);
        }
    }

    pub fn grant_turn(&mut self, ttl_ms: u64) {
        self.bid_pending = false;
        self.scheduler
            .bid_answered(LoadTurn::Granted { ttl_ms }, self.now);
    }

    pub fn defer_turn(&mut self, again_ms: u64) {
        self.bid_pending = false;
        let turn = LoadTurn::Wait {
            again_ms,
            turn_ms: again_ms * 20,
            round_ms: again_ms * 10,
        };
        self.scheduler.bid_answered(turn, self.now);
    }

    pub fn leave_bid_unanswered(&mut self, roll: u64) {
        self.bid_pending = false;
        self.scheduler.bid_unanswered(roll, self.now);
    }

    pub fn end_load(&mut self, outcome: LoadOutcome) {
        let Some(lora) = self.loading.take() else {
            return;
        };
        if outcome == LoadOutcome::Done {
            self.resident.insert(lora);
        }
        self.scheduler.loaded(lora, outcome, self.now);
    }

    pub fn end_unload(&mut self, gone: bool) {
        let Some(lora) = self.unloading.take() else {
            return;
        };
        if gone {
            self.resident.remove(&lora);
        }
        self.scheduler.unloaded(lora, gone, self.now);
    }

    /// Restarts the engine with one adapter resident and another in use by an unaccounted request.
    pub fn reset(&mut self, resident: u32, unaccounted: u32) {
        self.running.clear();
        self.loading = None;
        self.unloading = None;
        self.bid_pending = false;
        self.resident = [LoraIx(resident)].into();
        self.unaccounted.clear();
        if self.slots > 1 {
            self.resident.insert(LoraIx(unaccounted));
            self.unaccounted.push(LoraIx(unaccounted));
        }
        let resident = [LoraIx(resident)];
        self.scheduler.reset(&resident, &self.unaccounted, self.now);
    }

    /// Ends an unaccounted request. If there is none, reports the end of one for the adapter of a
    /// running request, which must change nothing.
    pub fn finish_unaccounted(&mut self) {
        let unaccounted = self.unaccounted.pop();
        let running = self.running.values().flatten().next().copied();
        if let Some(lora) = unaccounted.or(running) {
            self.scheduler.unaccounted_finished(lora);
        }
    }

    /// Polls the scheduler, and checks every action and the reported figures.
    pub fn poll(&mut self) {
        for action in self.scheduler.poll(self.now) {
            self.check(action);
        }
        let wake = self.scheduler.next_wake(self.now);
        assert!(
            wake.is_none_or(|at| at > self.now),
            "next wake is not in the future: {wake:?}"
        );
        let figures = self.scheduler.figures();
        assert_eq!(figures.waiting as usize, self.waiting.len());
        let running = self.running.len() + self.unaccounted.len();
        assert_eq!(figures.running as usize, running);
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send(id) => self.check_send(id),
            Action::Refuse(id, _) => {
                assert!(
                    self.waiting.remove(&id).is_some(),
                    "{id:?} was refused but is not waiting"
                );
            }
            Action::Bid(bid) => {
                assert!(
                    !self.bid_pending,
                    "second bid before an answer to the first"
                );
                assert!(
                    !self.resident.contains(&bid.lora),
                    "bid for a resident adapter"
                );
                self.bid_pending = true;
            }
            Action::ReleaseTurn => {}
            Action::Load(lora) => self.check_load(lora),
            Action::Unload(lora) => self.check_unload(lora),
        }
    }

    fn check_send(&mut self, id: JobId) {
        let lora = self
            .waiting
            .remove(&id)
            .expect("sent request is not waiting");
        let ready = lora.is_none_or(|l| self.resident.contains(&l) && self.unloading != Some(l));
        assert!(ready, "sent to {lora:?}, which is not ready");
        let running = self.running.len() + self.unaccounted.len();
        assert!(running < self.batch, "sent to a full batch");
        self.running.insert(id, lora);
    }

    fn check_load(&mut self, lora: LoraIx) {
        assert!(
            self.loading.is_none(),
            "second load before the first has ended"
        );
        assert!(!self.resident.contains(&lora), "load of resident {lora:?}");
        assert!(self.resident.len() < self.slots, "load without a free slot");
        self.loading = Some(lora);
    }

    fn check_unload(&mut self, lora: LoraIx) {
        assert!(
            self.unloading.is_none(),
            "second unload before the first has ended"
        );
        assert!(self.resident.contains(&lora), "unload of absent {lora:?}");
        let used = self.running.values().any(|l| *l == Some(lora));
        assert!(!used, "unload of {lora:?}, which serves a request");
        assert!(
            !self.unaccounted.contains(&lora),
            "unload of {lora:?}, which serves an unaccounted request"
        );
        self.unloading = Some(lora);
    }

    /// Lets every event succeed for `ms` milliseconds.
    pub fn settle(&mut self, ms: u64) {
        let end = self.now + Millis(ms);
        self.scheduler.reopen();
        while !self.unaccounted.is_empty() {
            self.finish_unaccounted();
        }
        while self.now < end {
            self.advance(500);
            self.end_load(LoadOutcome::Done);
            self.end_unload(true);
            if self.bid_pending {
                self.grant_turn(2_000);
            }
            self.finish(0, true);
            self.poll();
        }
    }
}
