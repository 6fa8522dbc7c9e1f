//! What happens at sides: attempts come, orders are carried out.

use pumicecleat_policy::{Action, AttemptOutcome, Bid, Job, JobId, JobRefusal, LoraIx, UpstreamIx};
use pumicecleat_types::{LoadTurn, Millis};
use rand::RngExt;

use super::event::{At, Ended, Event};
use super::{Try, World};
use crate::policy::shape::{LATENCY, UNLOAD};

/// Time until a side takes a bid for unanswered.
const UNANSWERED: Millis = Millis(100);

impl World<'_> {
    pub(super) fn submit(&mut self, id: JobId) {
        let Some(attempt) = self.tries.get(&id).copied() else {
            return;
        };
        if !self.machine(attempt.up).up {
            return self.end(id, AttemptOutcome::Failed, Millis(0));
        }
        let now = self.clock.now();
        if let Some(attempt) = self.tries.get_mut(&id) {
            attempt.since = now;
        }
        let job = self.job(id, &attempt, now);
        if let Err(give_up) = self.machine(attempt.up).side.submit(job, now) {
            self.give_up(id, &give_up);
        } else if !self.machine(attempt.up).engine.holds(attempt.lora) {
            self.begin_stall(id);
        }
        self.poll(attempt.up);
    }

    fn job(&self, id: JobId, attempt: &Try, now: Millis) -> Job {
        let ask = &self.trace.asks[attempt.call.ask];
        let deadline = self.calls.get(&attempt.call).map_or(now, |s| s.deadline);
        Job {
            id,
            lora: Some(ask.lora),
            caller: ask.caller,
            claim: 1,
            priority: 0,
            deadline,
            arrived: now,
            tokens: ask.limit,
        }
    }

    /// Carries out the orders that are due.
    pub(super) fn poll(&mut self, up: UpstreamIx) {
        let now = self.clock.now();
        let machine = self.machine(up);
        let (at, alive) = (machine.at, machine.up);
        for action in machine.side.poll(now) {
            match action {
                Action::Refuse(id, refusal) => self.give_up(id, &refusal),
                _ if !alive => {}
                Action::Send(id) => self.send(id),
                Action::Bid(bid) => self.send_bid(at, Some(bid)),
                Action::ReleaseTurn => self.send_bid(at, None),
                Action::Load(lora) => self.load(at, lora),
                Action::Unload(lora) => self.unload(at, lora),
            }
        }
        self.plan_wake(up);
    }

    fn plan_wake(&mut self, up: UpstreamIx) {
        let now = self.clock.now();
        let machine = self.machine(up);
        let Some(at) = machine.side.next_wake(now).filter(|_| machine.up) else {
            return;
        };
        let at = at.max(now + Millis(1));
        if machine.wake.is_none_or(|wake| at < wake || wake <= now) {
            machine.wake = Some(at);
            self.clock.at(at, Event::Wake(up));
        }
    }

    pub(super) fn wake(&mut self, up: UpstreamIx) {
        self.machine(up).wake = None;
        if self.machine(up).up {
            self.poll(up);
        }
    }

    fn give_up(&mut self, id: JobId, refusal: &JobRefusal) {
        let Some(attempt) = self.tries.get(&id) else {
            return;
        };
        let load = self.machines[attempt.up.0 as usize].side.view().load;
        let outcome = AttemptOutcome::Refused(refusal.reason, Some(load));
        self.end(id, outcome, refusal.retry_after);
    }

    /// Ends an attempt; its entry hears of it.
    pub(super) fn end(&mut self, id: JobId, outcome: AttemptOutcome, retry: Millis) {
        self.end_stall(id);
        let Some(attempt) = self.tries.remove(&id) else {
            return;
        };
        let ended = Ended {
            call: attempt.call,
            up: attempt.up,
            outcome,
            retry,
        };
        self.clock.after(LATENCY, Event::Ended(ended));
    }

    /// Takes back an attempt whose caller is gone.
    pub(super) fn withdraw(&mut self, id: JobId, attempt: &Try) {
        let now = self.clock.now();
        let machine = self.machine(attempt.up);
        if attempt.running {
            machine.engine.cancel(id);
            machine.side.finished(id, false, now);
        } else {
            machine.side.cancel(id);
        }
        self.poll(attempt.up);
    }

    fn send_bid(&mut self, at: At, bid: Option<Bid>) {
        if !self.order_down {
            self.clock.after(LATENCY, Event::Bid(at, bid));
        } else if bid.is_some() {
            self.clock.after(UNANSWERED, Event::NoTurn(at));
        }
    }

    pub(super) fn bid(&mut self, at: At, bid: Option<&Bid>) {
        let now = self.clock.now();
        let turn = self.order.bid(at.up, bid, now);
        if bid.is_some() {
            self.clock.after(LATENCY, Event::Turn(at, turn));
        }
    }

    pub(super) fn turn(&mut self, at: At, turn: LoadTurn) {
        if self.lives(at) {
            let now = self.clock.now();
            self.machine(at.up).side.turn(turn, now);
            self.poll(at.up);
        }
    }

    pub(super) fn no_turn(&mut self, at: At) {
        if self.lives(at) {
            let now = self.clock.now();
            let roll = self.rng.random();
            self.machine(at.up).side.no_turn(roll, now);
            self.poll(at.up);
        }
    }

    fn unload(&mut self, at: At, lora: LoraIx) {
        self.tally.evictions += 1;
        for id in self.waiting(at.up, lora) {
            self.begin_stall(id);
        }
        self.clock.after(UNLOAD, Event::Unloaded(at, lora));
    }

    /// Attempts that wait at a side for an adapter.
    pub(super) fn waiting(&self, up: UpstreamIx, lora: LoraIx) -> Vec<JobId> {
        let here = |t: &Try| t.up == up && t.lora == lora && !t.running;
        let tries = self.tries.iter().filter(|(_, t)| here(t));
        tries.map(|(id, _)| *id).collect()
    }

    fn begin_stall(&mut self, id: JobId) {
        let now = self.clock.now();
        if let Some(attempt) = self.tries.get_mut(&id) {
            attempt.stalled.get_or_insert(now);
        }
    }

    pub(super) fn end_stall(&mut self, id: JobId) {
        let now = self.clock.now();
        let Some(attempt) = self.tries.get_mut(&id) else {
            return;
        };
        if let Some(since) = attempt.stalled.take() {
            let stall = &mut self.tally.stalls[attempt.call.ask];
            *stall = *stall + now.since(since);
        }
    }
}
