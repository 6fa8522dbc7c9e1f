//! The policies compared: what decides at a side, and what chooses an upstream at an entry.

mod least;
mod naive;
mod ours;

use pumicecleat_policy::{
    Action, AttemptOutcome, Job, JobId, JobRefusal, LoadOutcome, LoraIx, PromptAffinity, Scheduler,
    SchedulerOptions, UpstreamIx, UpstreamStatus,
};
use pumicecleat_types::{LoadFigures, LoadTurn, Millis, Reason};

use super::shape::{LOAD, Shape};
use least::LeastLoaded;
use naive::NaiveSide;
use ours::Routed;

/// Decisions of a side.
pub(super) trait Side {
    fn submit(&mut self, job: Job, now: Millis) -> Result<(), JobRefusal>;
    fn poll(&mut self, now: Millis) -> Vec<Action>;
    fn next_wake(&self, now: Millis) -> Option<Millis>;
    fn finished(&mut self, id: JobId, whole: bool, now: Millis);
    fn cancel(&mut self, id: JobId);
    fn turn(&mut self, turn: LoadTurn, now: Millis);
    fn no_turn(&mut self, roll: u64, now: Millis);
    fn loaded(&mut self, lora: LoraIx, end: LoadOutcome, now: Millis);
    fn unloaded(&mut self, lora: LoraIx, now: Millis);
    fn close(&mut self, reason: Reason);
    /// Opens again beside an engine with nothing resident.
    fn reopen(&mut self, now: Millis);
    fn view(&self) -> View;
}

/// What a side reports.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) load: LoadFigures,
    pub(super) resident: Vec<LoraIx>,
    pub(super) loading: Option<LoraIx>,
}

/// What an entry asks of its choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Question<'a> {
    pub(super) lora: LoraIx,
    pub(super) left: Millis,
    pub(super) tried: &'a [UpstreamIx],
    /// Where prompts are modelled.
    pub(super) prompt: Option<PromptAffinity>,
}

/// Choice of upstream at an entry.
pub(super) trait Choose {
    fn report(&mut self, up: UpstreamIx, state: &UpstreamStatus, view: &View, now: Millis);
    /// Upstream, or the span after which to come back.
    fn choose(&mut self, question: &Question<'_>, now: Millis) -> Result<UpstreamIx, Millis>;
    fn sent(&mut self, up: UpstreamIx, lora: LoraIx, now: Millis);
    fn ended(&mut self, up: UpstreamIx, lora: LoraIx, outcome: AttemptOutcome, now: Millis);
}

/// Policy of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rules {
    /// Router, scheduler and load order.
    Ours,
    /// Scheduler and load order behind the naive choice.
    Unrouted,
    /// Least loaded, load on demand, evict least recently used, first come first served.
    Naive,
}

impl Rules {
    pub(super) const ALL: &[Self] = &[Self::Ours, Self::Unrouted, Self::Naive];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Unrouted => "unrouted",
            Self::Naive => "naive",
        }
    }

    pub(super) fn side(self, shape: &Shape) -> Box<dyn Side> {
        match self {
            Self::Ours | Self::Unrouted => Box::new(Scheduler::new_ext(options(shape))),
            Self::Naive => Box::new(NaiveSide::new(shape)),
        }
    }

    pub(super) fn chooser(self, shape: &Shape, entry: u32) -> Box<dyn Choose> {
        match self {
            Self::Ours => Box::new(Routed::new(shape, entry)),
            Self::Unrouted | Self::Naive => Box::new(LeastLoaded::new(entry)),
        }
    }
}

fn options(shape: &Shape) -> SchedulerOptions {
    SchedulerOptions {
        slots: shape.slots,
        max_batch: shape.batch,
        max_queue: shape.queue,
        weights: shape.weights,
        max_hold: shape.hold,
        expected_load_time: LOAD,
        ..SchedulerOptions::default()
    }
}
