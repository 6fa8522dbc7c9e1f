//! What happens at engines and at the weight store.

use pumicecleat_policy::{AttemptOutcome, JobId, LoadOutcome, LoraIx, UpstreamIx};
use pumicecleat_types::Millis;
use rand::RngExt;

use super::World;
use super::event::{At, Event};
use crate::policy::shape::LATENCY;

/// Part of loads that fail under the fault of failed ones.
const FAILING: f64 = 0.2;

/// Span that the store's pushback asks for.
const PUSHBACK: Millis = Millis(1_000);

impl World<'_> {
    pub(super) fn send(&mut self, id: JobId) {
        let Some(attempt) = self.tries.get_mut(&id) else {
            return;
        };
        attempt.running = true;
        let (up, lora) = (attempt.up, attempt.lora);
        self.tally.waits[attempt.call.ask] = self.clock.now().since(attempt.since);
        let tokens = self.trace.asks[attempt.call.ask].tokens;
        let prefill = self.read_prompt(id);
        let machine = &mut self.machines[up.0 as usize];
        if machine.engine.start(id, lora, tokens, prefill) {
            let step = machine.step();
            self.clock.after(step, Event::Step(machine.at));
        }
    }

    pub(super) fn step(&mut self, at: At) {
        if !self.lives(at) {
            return;
        }
        let machine = self.machine(at.up);
        let stepped = machine.engine.step();
        if !stepped.idle {
            let step = machine.step();
            self.clock.after(step, Event::Step(at));
        }
        for id in stepped.begun {
            self.begun(id);
        }
        if stepped.ended.is_empty() {
            return;
        }
        for id in stepped.ended {
            self.answered(id, at.up);
        }
        self.poll(at.up);
    }

    fn answered(&mut self, id: JobId, up: UpstreamIx) {
        let now = self.clock.now();
        self.machine(up).side.finished(id, true, now);
        if let Some(attempt) = self.tries.get(&id).copied() {
            self.keep_answer(&attempt);
            self.whole(attempt.call);
        }
        self.end(id, AttemptOutcome::Completed, Millis(0));
    }

    pub(super) fn load(&mut self, at: At, lora: LoraIx) {
        let now = self.clock.now();
        self.tally.loads += 1;
        if self.store.is_down() {
            return self.clock.after(LATENCY, Event::Busy(at, lora));
        }
        self.machine(at.up).loading = Some(lora);
        self.store.start(at.up, now);
        self.plan_store();
    }

    pub(super) fn pushed_back(&mut self, at: At, lora: LoraIx) {
        if self.lives(at) {
            let end = LoadOutcome::Busy {
                retry_after: PUSHBACK,
            };
            self.load_ended(at.up, lora, end);
        }
    }

    /// Schedules the next end of a load.
    pub(super) fn plan_store(&mut self) {
        if let Some(end) = self.store.next_end() {
            self.clock.at(end, Event::Store(self.store.change));
        }
    }

    pub(super) fn check_store(&mut self, change: u64) {
        if change != self.store.change {
            return;
        }
        let now = self.clock.now();
        for up in self.store.ended(now) {
            let Some(lora) = self.machine(up).loading.take() else {
                continue;
            };
            let fails = self.load_failures && self.rng.random::<f64>() < FAILING;
            let end = if fails {
                LoadOutcome::Failed
            } else {
                LoadOutcome::Done
            };
            self.load_ended(up, lora, end);
        }
        self.plan_store();
    }

    fn load_ended(&mut self, up: UpstreamIx, lora: LoraIx, end: LoadOutcome) {
        let now = self.clock.now();
        let machine = self.machine(up);
        if end == LoadOutcome::Done {
            machine.engine.put(lora);
        }
        machine.side.loaded(lora, end, now);
        if end == LoadOutcome::Done {
            for id in self.waiting(up, lora) {
                self.end_stall(id);
            }
            self.report_now(up);
        }
        self.poll(up);
    }

    pub(super) fn unloaded(&mut self, at: At, lora: LoraIx) {
        if self.lives(at) {
            let now = self.clock.now();
            let machine = self.machine(at.up);
            machine.engine.unload(lora);
            machine.side.unloaded(lora, now);
            self.poll(at.up);
        }
    }
}
