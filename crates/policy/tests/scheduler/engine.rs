//! A plain model of an engine beside a scheduler, which checks every order.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_policy::{
    Action, CallerIx, Job, JobId, LoadOutcome, LoraIx, ObjectiveWeights, Scheduler,
    SchedulerOptions,
};
use pumicecleat_types::{LoadTurn, Millis};

/// Adapters asked for; this index stands for none.
pub const LORAS: u32 = 6;

/// Engine and its scheduler.
pub struct Engine {
    pub side: Scheduler,
    pub now: Millis,
    pub waiting: BTreeMap<JobId, Option<LoraIx>>,
    slots: usize,
    batch: usize,
    held: BTreeSet<LoraIx>,
    running: BTreeMap<JobId, Option<LoraIx>>,
    unaccounted: Vec<LoraIx>,
    loading: Option<LoraIx>,
    unloading: Option<LoraIx>,
    asked: bool,
    next: u64,
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
            side: Scheduler::new_ext(options),
            now: Millis(0),
            waiting: BTreeMap::new(),
            slots: slots as usize,
            batch: batch as usize,
            held: BTreeSet::new(),
            running: BTreeMap::new(),
            unaccounted: Vec::new(),
            loading: None,
            unloading: None,
            asked: false,
            next: 0,
        }
    }

    pub fn submit(&mut self, lora: u32, caller: u32, span: u64, tokens: u32) {
        self.next += 1;
        let id = JobId(self.next);
        let lora = (lora < LORAS).then_some(LoraIx(lora));
        let job = Job {
            id,
            lora,
            caller: CallerIx(caller),
            claim: caller + 1,
            priority: 0,
            deadline: self.now + Millis(span),
            arrived: self.now,
            tokens,
        };
        if self.side.submit(job, self.now).is_ok() {
            self.waiting.insert(id, lora);
        }
    }

    pub fn pass(&mut self, ms: u64) {
        self.now = self.now + Millis(ms);
    }

    pub fn finish(&mut self, nth: usize, whole: bool) {
        let count = self.running.len().max(1);
        let id = self.running.keys().nth(nth % count).copied();
        if let Some(id) = id {
            self.running.remove(&id);
            self.side.finished(id, whole, self.now);
        }
    }

    pub fn cancel(&mut self, nth: usize) {
        let count = self.waiting.len().max(1);
        let id = self.waiting.keys().nth(nth % count).copied();
        if let Some(id) = id {
            assert!(self.side.cancel(id), "{id:?} waits but was not found");
            assert!(!self.side.cancel(id), "{id:?} cancelled twice");
            self.waiting.remove(&id);
        }
    }

    pub fn go(&mut self, ttl_ms: u64) {
        self.asked = false;
        self.side.bid_answered(LoadTurn::Go { ttl_ms }, self.now);
    }

    pub fn wait(&mut self, again_ms: u64) {
        self.asked = false;
        let turn = LoadTurn::Wait {
            again_ms,
            turn_ms: again_ms * 20,
            round_ms: again_ms * 10,
        };
        self.side.bid_answered(turn, self.now);
    }

    pub fn silence(&mut self, roll: u64) {
        self.asked = false;
        self.side.bid_unanswered(roll, self.now);
    }

    pub fn loaded(&mut self, end: LoadOutcome) {
        let Some(lora) = self.loading.take() else {
            return;
        };
        if end == LoadOutcome::Done {
            self.held.insert(lora);
        }
        self.side.loaded(lora, end, self.now);
    }

    pub fn unloaded(&mut self, gone: bool) {
        let Some(lora) = self.unloading.take() else {
            return;
        };
        if gone {
            self.held.remove(&lora);
        }
        self.side.unloaded(lora, gone, self.now);
    }

    /// The engine restarts with one adapter resident and another in use by an unknown request.
    pub fn reset(&mut self, resident: u32, unaccounted: u32) {
        self.running.clear();
        self.loading = None;
        self.unloading = None;
        self.asked = false;
        self.held = [LoraIx(resident)].into();
        self.unaccounted.clear();
        if self.slots > 1 {
            self.held.insert(LoraIx(unaccounted));
            self.unaccounted.push(LoraIx(unaccounted));
        }
        let resident = [LoraIx(resident)];
        self.side.reset(&resident, &self.unaccounted, self.now);
    }

    /// An unaccounted request ends, or else one that nobody knows of, which must change nothing.
    pub fn release(&mut self) {
        let known = self.unaccounted.pop();
        let running = self.running.values().flatten().next().copied();
        if let Some(lora) = known.or(running) {
            self.side.unaccounted_finished(lora);
        }
    }

    /// Polls and checks every order.
    pub fn poll(&mut self) {
        for action in self.side.poll(self.now) {
            self.check(action);
        }
        let wake = self.side.next_wake(self.now);
        assert!(wake.is_none_or(|at| at > self.now), "would spin");
        let figures = self.side.figures();
        assert_eq!(figures.waiting as usize, self.waiting.len());
        let running = self.running.len() + self.unaccounted.len();
        assert_eq!(figures.running as usize, running);
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send(id) => self.check_send(id),
            Action::Refuse(id, _) => {
                assert!(self.waiting.remove(&id).is_some(), "{id:?} does not wait");
            }
            Action::Bid(bid) => {
                assert!(!self.asked, "two bids are out");
                assert!(!self.held.contains(&bid.lora), "bid for a resident one");
                self.asked = true;
            }
            Action::ReleaseTurn => {}
            Action::Load(lora) => self.check_load(lora),
            Action::Unload(lora) => self.check_unload(lora),
        }
    }

    fn check_send(&mut self, id: JobId) {
        let lora = self.waiting.remove(&id).expect("sent but not waiting");
        let ready = lora.is_none_or(|l| self.held.contains(&l) && self.unloading != Some(l));
        assert!(ready, "{lora:?} is not resident");
        let running = self.running.len() + self.unaccounted.len();
        assert!(running < self.batch, "batch is full");
        self.running.insert(id, lora);
    }

    fn check_load(&mut self, lora: LoraIx) {
        assert!(self.loading.is_none(), "two loads are out");
        assert!(!self.held.contains(&lora), "{lora:?} is resident");
        assert!(self.held.len() < self.slots, "no slot is free");
        self.loading = Some(lora);
    }

    fn check_unload(&mut self, lora: LoraIx) {
        assert!(self.unloading.is_none(), "two unloads are out");
        assert!(self.held.contains(&lora), "{lora:?} is not resident");
        let used = self.running.values().any(|l| *l == Some(lora));
        assert!(!used, "{lora:?} serves a request");
        assert!(!self.unaccounted.contains(&lora), "{lora:?} may serve one");
        self.unloading = Some(lora);
    }

    /// Events go well from now on, for so many milliseconds.
    pub fn settle(&mut self, ms: u64) {
        let end = self.now + Millis(ms);
        self.side.reopen();
        while !self.unaccounted.is_empty() {
            self.release();
        }
        while self.now < end {
            self.pass(500);
            self.loaded(LoadOutcome::Done);
            self.unloaded(true);
            if self.asked {
                self.go(2_000);
            }
            self.finish(0, true);
            self.poll();
        }
    }
}
