//! Replay of a trace under one policy, in virtual time.
//!
//! `entry` is what happens at entries and callers, `side` at sides, `engine` at engines and the
//! store, `prompt` what prompts take, `fault` the faults' timetable. A refused caller comes back once, when it was told to.

mod engine;
mod entry;
mod event;
mod fault;
mod machine;
mod prompt;
mod side;
mod tally;

use std::collections::BTreeMap;

use pumicecleat_policy::{JobId, LoadOrder, LoadOrderOptions, LoraIx, UpstreamIx};
use pumicecleat_types::Millis;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fault::Fault;
use super::model::{Clock, Store};
use super::rules::{Choose, Rules};
use super::shape::{REPORT, Shape};
use super::trace::Trace;
use event::{Call, Event};
use machine::Machine;

pub(super) use tally::Tally;

/// Lag of reports under the fault of late ones.
const LATE: Millis = Millis(3_000);

/// Time after the trace's end until the replay stops.
const TAIL: Millis = Millis(90_000);

/// One attempt on its way, waiting or running.
#[derive(Clone, Copy, Debug)]
struct Try {
    call: Call,
    up: UpstreamIx,
    lora: LoraIx,
    running: bool,
    /// When it reached its side.
    since: Millis,
    /// Start of its wait for the adapter.
    stalled: Option<Millis>,
}

/// A caller's request as its entry sees it.
#[derive(Clone, Debug)]
struct State {
    deadline: Millis,
    tried: Vec<UpstreamIx>,
    live: Option<JobId>,
}

/// Replay in progress.
struct World<'a> {
    shape: &'a Shape,
    trace: &'a Trace,
    clock: Clock<Event>,
    machines: Vec<Machine>,
    store: Store,
    entries: Vec<Box<dyn Choose>>,
    order: LoadOrder,
    order_down: bool,
    calls: BTreeMap<Call, State>,
    tries: BTreeMap<JobId, Try>,
    next_id: u64,
    lag: Millis,
    load_failures: bool,
    rng: ChaCha8Rng,
    tally: Tally,
}

/// Replays the trace under the policy.
pub(super) fn replay(shape: &Shape, trace: &Trace, rules: Rules, fault: Fault, seed: u64) -> Tally {
    let mut world = World::new(shape, trace, rules, fault, seed);
    world.schedule(fault);
    let stop = trace.end + TAIL;
    while let Some(event) = world.clock.next() {
        if world.clock.now() > stop {
            break;
        }
        world.handle(event);
    }
    world.tally.steps = world.machines.iter().map(|m| m.engine.steps).sum();
    world.tally
}

impl<'a> World<'a> {
    fn new(shape: &'a Shape, trace: &'a Trace, rules: Rules, fault: Fault, seed: u64) -> Self {
        let ups = (0..shape.engines).map(UpstreamIx);
        let late = fault == Fault::LateReports;
        Self {
            shape,
            trace,
            clock: Clock::new(),
            machines: ups.map(|up| Machine::new(shape, rules, up, seed)).collect(),
            store: Store::new(),
            entries: (0..shape.entries)
                .map(|e| rules.chooser(shape, e))
                .collect(),
            order: LoadOrder::new_ext(LoadOrderOptions::default()),
            order_down: false,
            calls: BTreeMap::new(),
            tries: BTreeMap::new(),
            next_id: 0,
            lag: if late { LATE } else { REPORT.1 },
            load_failures: fault == Fault::FailedLoads,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tally: Tally::new(trace),
        }
    }

    fn schedule(&mut self, fault: Fault) {
        for (ask, item) in self.trace.asks.iter().enumerate() {
            let call = Call { ask, again: false };
            self.clock.at(item.at, Event::Arrive(call));
        }
        for n in 0..self.machines.len() {
            let up = self.machines[n].at.up;
            self.hear_now(up);
            let offset = REPORT.0.0 * u64::from(up.0) / u64::from(self.shape.engines);
            self.clock.at(Millis(offset), Event::Report(up));
        }
        for (at, turn) in fault::turns(fault, self.shape, self.trace) {
            self.clock.at(at, Event::Fault(turn));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Deadline(call) => self.lapse(call),
            Event::Submit(id) => self.submit(id),
            Event::Ended(ended) => self.ended(&ended),
            Event::Step(at) => self.step(at),
            Event::Report(up) => self.report(up),
            Event::Heard(heard) => self.hear(&heard),
            Event::Bid(at, bid) => self.bid(at, bid.as_ref()),
            Event::Turn(at, turn) => self.turn(at, turn),
            Event::NoTurn(at) => self.no_turn(at),
            Event::Store(change) => self.check_store(change),
            Event::Busy(at, lora) => self.pushed_back(at, lora),
            Event::Unloaded(at, lora) => self.unloaded(at, lora),
            Event::Wake(up) => self.wake(up),
            Event::Fault(turn) => self.fault(turn),
        }
    }

    fn machine(&mut self, up: UpstreamIx) -> &mut Machine {
        &mut self.machines[up.0 as usize]
    }

    /// Whether the upstream still lives the life that an event was meant for.
    fn lives(&self, at: event::At) -> bool {
        let machine = &self.machines[at.up.0 as usize];
        machine.up && machine.at == at
    }
}
