//! What happens at entries, and callers' patience.

use pumicecleat_policy::{AttemptOutcome, JobId, LoraIx, UpstreamIx};
use pumicecleat_types::{Millis, Reason};

use super::event::{Call, Ended, Event, Heard};
use super::{State, Try, World};
use crate::policy::rules::Question;
use crate::policy::shape::{LATENCY, REPORT};

/// Attempts of one request at most.
const ATTEMPTS: usize = 3;

impl World<'_> {
    pub(super) fn arrive(&mut self, call: Call) {
        let deadline = self.clock.now() + self.shape.span;
        let state = State {
            deadline,
            tried: Vec::new(),
            live: None,
        };
        self.calls.insert(call, state);
        self.clock.at(deadline, Event::Deadline(call));
        self.attempt(call);
    }

    fn attempt(&mut self, call: Call) {
        let now = self.clock.now();
        let lora = self.lora(call);
        let entry = self.entry(call);
        let state = &self.calls[&call];
        let question = Question {
            lora,
            left: state.deadline - now,
            tried: &state.tried,
            prompt: self.prompt(call),
        };
        match self.entries[entry].choose(&question, now) {
            Ok(up) => self.start(call, up),
            Err(retry) => self.refuse(call, retry),
        }
    }

    fn start(&mut self, call: Call, up: UpstreamIx) {
        let now = self.clock.now();
        let lora = self.lora(call);
        let entry = self.entry(call);
        self.entries[entry].sent(up, lora, now);
        self.next_id += 1;
        let id = JobId(self.next_id);
        let attempt = Try {
            call,
            up,
            lora,
            running: false,
            since: now,
            stalled: None,
        };
        self.tries.insert(id, attempt);
        if let Some(state) = self.calls.get_mut(&call) {
            state.tried.push(up);
            state.live = Some(id);
        }
        self.clock.after(LATENCY, Event::Submit(id));
    }

    /// The caller is told to come back, and does so once.
    fn refuse(&mut self, call: Call, retry: Millis) {
        self.calls.remove(&call);
        self.tally.refused += 1;
        if !call.again {
            self.tally.returned += 1;
            let again = Call {
                again: true,
                ..call
            };
            self.clock.after(retry, Event::Arrive(again));
        }
    }

    /// The caller's patience ends: whatever is under way is cancelled.
    pub(super) fn lapse(&mut self, call: Call) {
        let Some(state) = self.calls.remove(&call) else {
            return;
        };
        let Some(id) = state.live else {
            return;
        };
        self.end_stall(id);
        let Some(attempt) = self.tries.remove(&id) else {
            return;
        };
        let now = self.clock.now();
        let entry = self.entry(call);
        self.entries[entry].ended(attempt.up, attempt.lora, AttemptOutcome::Completed, now);
        self.withdraw(id, &attempt);
    }

    /// The end of an attempt is known at its entry.
    pub(super) fn ended(&mut self, ended: &Ended) {
        let now = self.clock.now();
        let entry = self.entry(ended.call);
        let lora = self.lora(ended.call);
        self.entries[entry].ended(ended.up, lora, ended.outcome, now);
        if ended.outcome == AttemptOutcome::Completed {
            return;
        }
        let Some(state) = self.calls.get_mut(&ended.call) else {
            return;
        };
        state.live = None;
        if elsewhere(ended.outcome) && state.tried.len() < ATTEMPTS {
            self.attempt(ended.call);
        } else {
            self.refuse(ended.call, ended.retry);
        }
    }

    /// An answer was whole.
    pub(super) fn whole(&mut self, call: Call) {
        if self.calls.remove(&call).is_none() {
            return;
        }
        let ask = &self.trace.asks[call.ask];
        self.tally.useful += u64::from(ask.tokens);
        self.tally.kept += u64::from(call.again);
        self.tally.met[call.ask] |= self.clock.now() <= ask.at + self.shape.span;
    }

    /// A side reports to every entry, and will again.
    pub(super) fn report(&mut self, up: UpstreamIx) {
        self.clock.after(REPORT.0, Event::Report(up));
        self.report_now(up);
    }

    pub(super) fn report_now(&mut self, up: UpstreamIx) {
        if !self.machine(up).up {
            return;
        }
        for heard in self.news(up) {
            let lag = self.lag;
            self.clock.after(lag, Event::Heard(Box::new(heard)));
        }
    }

    /// Entries know an upstream at once, as at the start.
    pub(super) fn hear_now(&mut self, up: UpstreamIx) {
        for heard in self.news(up) {
            self.hear(&heard);
        }
    }

    fn news(&mut self, up: UpstreamIx) -> Vec<Heard> {
        let entries = 0..self.entries.len();
        let machine = self.machine(up);
        let state = machine.state();
        let view = machine.side.view();
        entries
            .map(|entry| Heard {
                entry,
                up,
                state,
                view: view.clone(),
            })
            .collect()
    }

    pub(super) fn hear(&mut self, heard: &Heard) {
        let now = self.clock.now();
        self.entries[heard.entry].report(heard.up, &heard.state, &heard.view, now);
    }

    fn lora(&self, call: Call) -> LoraIx {
        self.trace.asks[call.ask].lora
    }

    fn entry(&self, call: Call) -> usize {
        call.ask % self.entries.len()
    }
}

/// Whether another upstream may do better.
fn elsewhere(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Completed => false,
        AttemptOutcome::Refused(reason, _) => matches!(
            reason,
            Reason::Leaving | Reason::UpstreamDown | Reason::LoadFailed | Reason::Overloaded
        ),
        AttemptOutcome::Stalled | AttemptOutcome::Failed => true,
    }
}
