//! What the queue is told of its upstream, of turns at the weight store and of the configuration.

use pumicecleat_policy::{LoadOutcome, LoraIx, SchedulerOptions};
use pumicecleat_types::{LoadTurn, Lora, Reason};

use super::Dispatcher;

impl Dispatcher {
    /// Outcome of a bid; `None` if no entry answered.
    pub(crate) fn bid_ended(&self, turn: Option<LoadTurn>, roll: u64) {
        let now = self.now();
        {
            let mut scheduler = self.state.scheduler.borrow_mut();
            match turn {
                Some(turn) => scheduler.bid_answered(turn, now),
                None => scheduler.bid_unanswered(roll, now),
            }
        }
        self.pump();
    }

    /// An entry calls for a bid before its time; tells whether one goes out.
    pub(crate) fn bid_requested(&self) -> bool {
        let now = self.now();
        self.state.scheduler.borrow_mut().bid_requested(now);
        self.pump();
        self.state.scheduler.borrow().is_bid_pending()
    }

    /// Outcome of a load.
    pub(crate) fn loaded(&self, lora: &Lora, end: LoadOutcome) {
        let ix = self.index(lora);
        let now = self.now();
        self.state.scheduler.borrow_mut().loaded(ix, end, now);
        self.pump();
    }

    /// Outcome of an unload.
    pub(crate) fn unloaded(&self, lora: &Lora, gone: bool) {
        let ix = self.index(lora);
        let now = self.now();
        self.state.scheduler.borrow_mut().unloaded(ix, gone, now);
        self.pump();
    }

    /// What the engine holds after it or this side restarted.
    pub(crate) fn reset(&self, resident: &[Lora], unaccounted: &[Lora]) {
        let now = self.now();
        let resident: Vec<LoraIx> = resident.iter().map(|l| self.index(l)).collect();
        let held: Vec<LoraIx> = unaccounted.iter().map(|l| self.index(l)).collect();
        let mut scheduler = self.state.scheduler.borrow_mut();
        scheduler.reset(&resident, &held, now);
        drop(scheduler);
        self.pump();
    }

    /// A request that this side did not send has ended.
    pub(crate) fn unaccounted_finished(&self, lora: &Lora) {
        let ix = self.index(lora);
        self.state.scheduler.borrow_mut().unaccounted_finished(ix);
        self.pump();
    }

    /// Takes no new requests and refuses those that wait.
    pub(crate) fn close(&self, reason: Reason) {
        self.state.scheduler.borrow_mut().close(reason);
        self.pump();
    }

    /// Takes requests again.
    pub(crate) fn reopen(&self) {
        self.state.scheduler.borrow_mut().reopen();
        self.pump();
    }

    /// Takes new options.
    pub(crate) fn set_options(&self, options: SchedulerOptions) {
        self.state.scheduler.borrow_mut().set_options(options);
        self.pump();
    }
}
