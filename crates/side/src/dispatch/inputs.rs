//! Inputs of the scheduler: events of the engine and of turns at the weight store, and options.

use pumicecleat_policy::{LoadOutcome, LoraIx, SchedulerOptions};
use pumicecleat_types::{LoadTurn, Lora, Reason};

use super::Dispatcher;

impl Dispatcher {
    /// A bid ended: with the entry's answer, or `None` if no entry answered. `roll` is a random
    /// number that sets the delay before loading without a turn.
    pub(crate) fn bid_ended(&self, turn: Option<LoadTurn>, roll: u64) {
        let now = self.now();
        {
            let mut scheduler = self.state.scheduler.borrow_mut();
            match turn {
                Some(turn) => scheduler.bid_answered(turn, now),
                None => scheduler.bid_unanswered(roll, now),
            }
        }
        self.poll();
    }

    /// An entry asks for a bid earlier than planned. Returns whether one is pending now.
    pub(crate) fn bid_requested(&self) -> bool {
        let now = self.now();
        self.state.scheduler.borrow_mut().bid_requested(now);
        self.poll();
        self.state.scheduler.borrow().is_bid_pending()
    }

    /// An ordered load ended.
    pub(crate) fn loaded(&self, lora: &Lora, end: LoadOutcome) {
        let ix = self.lora_index(lora);
        let now = self.now();
        self.state.scheduler.borrow_mut().loaded(ix, end, now);
        self.poll();
    }

    /// An ordered unload ended; `gone` is false if the engine kept the adapter.
    pub(crate) fn unloaded(&self, lora: &Lora, gone: bool) {
        let ix = self.lora_index(lora);
        let now = self.now();
        self.state.scheduler.borrow_mut().unloaded(ix, gone, now);
        self.poll();
    }

    /// Resets the state after a restart of the side or its engine. `resident` lists the resident
    /// adapters, `unaccounted` those of requests in flight that this side did not send.
    pub(crate) fn reset(&self, resident: &[Lora], unaccounted: &[Lora]) {
        let now = self.now();
        let resident: Vec<LoraIx> = resident.iter().map(|l| self.lora_index(l)).collect();
        let unaccounted: Vec<LoraIx> = unaccounted.iter().map(|l| self.lora_index(l)).collect();
        let mut scheduler = self.state.scheduler.borrow_mut();
        scheduler.reset(&resident, &unaccounted, now);
        drop(scheduler);
        self.poll();
    }

    /// A request that this side did not send ended at the engine.
    pub(crate) fn unaccounted_finished(&self, lora: &Lora) {
        let ix = self.lora_index(lora);
        self.state.scheduler.borrow_mut().unaccounted_finished(ix);
        self.poll();
    }

    /// Refuses new and waiting requests with `reason`.
    pub(crate) fn close(&self, reason: Reason) {
        self.state.scheduler.borrow_mut().close(reason);
        self.poll();
    }

    /// Accepts requests again after [`close`](Self::close).
    pub(crate) fn reopen(&self) {
        self.state.scheduler.borrow_mut().reopen();
        self.poll();
    }

    /// Replaces the scheduler's options.
    pub(crate) fn set_options(&self, options: SchedulerOptions) {
        self.state.scheduler.borrow_mut().set_options(options);
        self.poll();
    }
}
