//! What the engine did, for tests.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::batch::{Batch, Left, Run};

/// Requests that left and orders that are remembered, each.
const LIMIT: usize = 100_000;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEffect {
    /// Request id, from its header.
    pub request: String,
    /// LoRA that ran it.
    pub lora: String,
    /// Tokens made.
    pub tokens: u64,
    /// State.
    pub state: RunState,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a LoRA.
    Load,
    /// Unload a LoRA.
    Unload,
}

/// An order as it came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEffect {
    /// Kind.
    pub order: OrderKind,
    /// LoRA.
    pub lora: String,
    /// Fencing number.
    pub fencing: Option<u64>,
    /// Not refused for its fencing number.
    pub accepted: bool,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Steps.
    pub steps: u64,
    /// Tokens.
    pub tokens: u64,
    /// Requests that left whole.
    pub done: u64,
    /// Requests whose caller went away.
    pub aborted: u64,
    /// Requests cut by a fault or a restart.
    pub broken: u64,
    /// Loads that made a LoRA resident.
    pub loads: u64,
    /// Unloads.
    pub unloads: u64,
    /// Unloads of a LoRA that a request in the engine used.
    pub evicted_in_use: u64,
}

/// What the engine did, as `GET /effects` shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEffects {
    /// Requests: those that left in that order, then those that run, then those that wait.
    pub runs: Vec<RunEffect>,
    /// Counts.
    pub counters: EngineCounters,
    /// Orders as they came.
    pub orders: Vec<OrderEffect>,
}

/// Effects so far.
#[derive(Default)]
pub(crate) struct Effects {
    /// Counts.
    pub(crate) counters: EngineCounters,
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
    pub(crate) fn report(&self, batch: &Batch, parked: Option<&Run>) -> EngineEffects {
        let running = batch.running().iter().map(|r| view(r, RunState::Running));
        let waiting = batch.waiting().chain(parked);
        let waiting = waiting.map(|r| view(r, RunState::Waiting));
        let left = self.left.iter().cloned();
        EngineEffects {
            runs: left.chain(running).chain(waiting).collect(),
            counters: self.counters,
            orders: self.orders.iter().cloned().collect(),
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
