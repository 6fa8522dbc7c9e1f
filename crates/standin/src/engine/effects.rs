//! What the engine did, for tests.

use std::collections::VecDeque;

use serde::Serialize;

use super::batch::{Batch, Left, Run};

/// Requests that left and orders that are remembered, each.
const LIMIT: usize = 100_000;

/// State of a request.
#[derive(Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RunState {
    /// Waits for a place in the batch.
    Waiting,
    /// Runs.
    Running,
    /// Left whole.
    Done,
    /// Left because its caller went away.
    Aborted,
    /// Was cut by a fault or a restart.
    Broken,
}

/// A request and what became of it.
#[derive(Clone, Serialize)]
pub(crate) struct RunEffect {
    request: String,
    lora: String,
    tokens: u64,
    state: RunState,
}

/// Kind of an order.
#[derive(Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderKind {
    /// Load a LoRA.
    Load,
    /// Unload a LoRA.
    Unload,
}

/// An order as it came.
#[derive(Clone, Serialize)]
pub(crate) struct OrderEffect {
    /// Kind.
    pub(crate) order: OrderKind,
    /// LoRA.
    pub(crate) lora: String,
    /// Fencing number.
    pub(crate) fencing: Option<u64>,
    /// Not refused for its fencing number.
    pub(crate) accepted: bool,
}

/// Counts since the start.
#[derive(Clone, Copy, Default, Serialize)]
pub(crate) struct Counters {
    /// Steps.
    pub(crate) steps: u64,
    /// Tokens.
    pub(crate) tokens: u64,
    /// Requests that left whole.
    pub(crate) done: u64,
    /// Requests whose caller went away.
    pub(crate) aborted: u64,
    /// Requests cut by a fault or a restart.
    pub(crate) broken: u64,
    /// Loads that made a LoRA resident.
    pub(crate) loads: u64,
    /// Unloads.
    pub(crate) unloads: u64,
    /// Unloads of a LoRA that a running request used.
    pub(crate) evicted_in_use: u64,
}

/// Everything shown.
#[derive(Serialize)]
pub(crate) struct Report<'a> {
    runs: Vec<RunEffect>,
    counters: Counters,
    orders: &'a VecDeque<OrderEffect>,
}

/// Effects so far.
#[derive(Default)]
pub(crate) struct Effects {
    /// Counts.
    pub(crate) counters: Counters,
    left: VecDeque<RunEffect>,
    orders: VecDeque<OrderEffect>,
}

impl Effects {
    /// Remembers a request that left.
    pub(crate) fn leave(&mut self, run: &Run, left: Left) {
        let (state, counter) = match left {
            Left::Done => (RunState::Done, &mut self.counters.done),
            Left::Aborted => (RunState::Aborted, &mut self.counters.aborted),
            Left::Broken => (RunState::Broken, &mut self.counters.broken),
        };
        *counter += 1;
        push_limited(&mut self.left, view(run, state));
    }

    /// Remembers an order.
    pub(crate) fn order(&mut self, order: OrderEffect) {
        push_limited(&mut self.orders, order);
    }

    /// All, with what runs and waits now.
    pub(crate) fn report<'a>(&'a self, batch: &Batch, parked: Option<&Run>) -> Report<'a> {
        let running = batch.running().iter().map(|r| view(r, RunState::Running));
        let waiting = batch.waiting().chain(parked);
        let waiting = waiting.map(|r| view(r, RunState::Waiting));
        Report {
            runs: self
                .left
                .iter()
                .cloned()
                .chain(running)
                .chain(waiting)
                .collect(),
            counters: self.counters,
            orders: &self.orders,
        }
    }
}

fn view(run: &Run, state: RunState) -> RunEffect {
    RunEffect {
        request: run.head.request.clone(),
        lora: run.lora.clone(),
        tokens: run.count.answer,
        state,
    }
}

fn push_limited<T>(list: &mut VecDeque<T>, item: T) {
    if list.len() == LIMIT {
        list.pop_front();
    }
    list.push_back(item);
}
