//! Waiting requests, found by adapter, by caller and by the time they must start.

mod lane;

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::Millis;

use super::{Job, JobId};
use crate::{CallerIx, LoraIx};

pub(super) use lane::{Head, Lane};

#[derive(Clone, Copy, Debug)]
struct Waiting {
    job: Job,
    start: Millis,
}

/// What one caller has waiting.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    /// Requests.
    pub(super) jobs: u32,
    /// Work.
    pub(super) tokens: u64,
    /// Claim of the latest request.
    pub(super) claim: u32,
}

impl Backlog {
    /// Requests per claim.
    fn excess(self) -> f64 {
        f64::from(self.jobs) / f64::from(self.claim.max(1))
    }
}

/// Waiting requests of one side.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    jobs: BTreeMap<JobId, Waiting>,
    lanes: BTreeMap<Option<LoraIx>, Lane>,
    starts: BTreeSet<(Millis, JobId)>,
    callers: BTreeMap<CallerIx, Backlog>,
    tokens: u64,
}

impl Queue {
    /// Adds a request that must start by `start`.
    pub(super) fn add(&mut self, job: Job, start: Millis) {
        self.lanes.entry(job.lora).or_default().add(&job, start);
        self.starts.insert((start, job.id));
        let backlog = self.callers.entry(job.caller).or_default();
        backlog.jobs += 1;
        backlog.tokens += u64::from(job.tokens);
        backlog.claim = job.claim.max(1);
        self.tokens += u64::from(job.tokens);
        self.jobs.insert(job.id, Waiting { job, start });
    }

    /// Takes a request out.
    pub(super) fn take(&mut self, id: JobId) -> Option<Job> {
        let Waiting { job, start } = self.jobs.remove(&id)?;
        self.starts.remove(&(start, id));
        self.tokens -= u64::from(job.tokens);
        self.leave_lane(&job, start);
        self.leave_caller(&job);
        Some(job)
    }

    fn leave_lane(&mut self, job: &Job, start: Millis) {
        let Some(lane) = self.lanes.get_mut(&job.lora) else {
            return;
        };
        lane.remove(job, start);
        if lane.is_empty() {
            self.lanes.remove(&job.lora);
        }
    }

    fn leave_caller(&mut self, job: &Job) {
        let Some(backlog) = self.callers.get_mut(&job.caller) else {
            return;
        };
        backlog.jobs -= 1;
        backlog.tokens -= u64::from(job.tokens);
        if backlog.jobs == 0 {
            self.callers.remove(&job.caller);
        }
    }

    /// Whether the request waits here.
    pub(super) fn has(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Requests waiting.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Work waiting.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Lane of an adapter, if any request waits for it.
    pub(super) fn lane(&self, lora: Option<LoraIx>) -> Option<&Lane> {
        self.lanes.get(&lora)
    }

    /// Lanes of adapters.
    pub(super) fn lanes(&self) -> impl Iterator<Item = (LoraIx, &Lane)> {
        self.lanes
            .iter()
            .filter_map(|(lora, lane)| Some(((*lora)?, lane)))
    }

    /// Request that must start first, and by when.
    pub(super) fn first_start(&self) -> Option<(Millis, JobId)> {
        self.starts.first().copied()
    }

    /// What a caller has waiting.
    pub(super) fn backlog(&self, caller: CallerIx) -> Backlog {
        self.callers.get(&caller).copied().unwrap_or_default()
    }

    /// Callers that wait, with what they have waiting.
    pub(super) fn callers(&self) -> impl Iterator<Item = (CallerIx, Backlog)> {
        self.callers.iter().map(|(c, b)| (*c, *b))
    }

    /// Caller with the most requests per claim.
    pub(super) fn largest(&self) -> Option<CallerIx> {
        self.callers()
            .max_by(|a, b| a.1.excess().total_cmp(&b.1.excess()))
            .map(|(caller, _)| caller)
    }

    /// Request of a caller that is due last.
    pub(super) fn last_of(&self, caller: CallerIx) -> Option<JobId> {
        let of_caller = |w: &&Waiting| w.job.caller == caller;
        self.jobs
            .values()
            .filter(of_caller)
            .max_by_key(|w| (w.job.deadline, w.job.id))
            .map(|w| w.job.id)
    }

    /// Every request.
    pub(super) fn ids(&self) -> Vec<JobId> {
        self.jobs.keys().copied().collect()
    }
}
