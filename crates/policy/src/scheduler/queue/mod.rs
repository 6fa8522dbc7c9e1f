//! Waiting requests, indexed by adapter, by caller and by latest start time.

mod lane;

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::Millis;

use super::{Job, JobId};
use crate::{CallerIx, LoraIx};

pub(super) use lane::{Head, Lane};

#[derive(Clone, Copy, Debug)]
struct WaitingJob {
    job: Job,
    start_by: Millis,
}

/// Waiting requests of one caller.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    /// Number of requests.
    pub(super) jobs: u32,
    /// Sum of their work.
    pub(super) tokens: u64,
    /// The caller's claim, as of its latest request.
    pub(super) claim: u32,
}

impl Backlog {
    /// Waiting requests per unit of the claim.
    fn jobs_per_claim(self) -> f64 {
        f64::from(self.jobs) / f64::from(self.claim.max(1))
    }
}

/// Queue of one side's waiting requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    jobs: BTreeMap<JobId, WaitingJob>,
    lanes: BTreeMap<Option<LoraIx>, Lane>,
    by_start: BTreeSet<(Millis, JobId)>,
    backlogs: BTreeMap<CallerIx, Backlog>,
    tokens: u64,
}

impl Queue {
    /// Adds a request that must be sent by `start_by`.
    pub(super) fn add(&mut self, job: Job, start_by: Millis) {
        self.lanes.entry(job.lora).or_default().add(&job, start_by);
        self.by_start.insert((start_by, job.id));
        let backlog = self.backlogs.entry(job.caller).or_default();
        backlog.jobs += 1;
        backlog.tokens += u64::from(job.tokens);
        backlog.claim = job.claim.max(1);
        self.tokens += u64::from(job.tokens);
        self.jobs.insert(job.id, WaitingJob { job, start_by });
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: JobId) -> Option<Job> {
        let WaitingJob { job, start_by } = self.jobs.remove(&id)?;
        self.by_start.remove(&(start_by, id));
        self.tokens -= u64::from(job.tokens);
        self.remove_from_lane(&job, start_by);
        self.remove_from_backlog(&job);
        Some(job)
    }

    fn remove_from_lane(&mut self, job: &Job, start_by: Millis) {
        let Some(lane) = self.lanes.get_mut(&job.lora) else {
            return;
        };
        lane.remove(job, start_by);
        if lane.is_empty() {
            self.lanes.remove(&job.lora);
        }
    }

    fn remove_from_backlog(&mut self, job: &Job) {
        let Some(backlog) = self.backlogs.get_mut(&job.caller) else {
            return;
        };
        backlog.jobs -= 1;
        backlog.tokens -= u64::from(job.tokens);
        if backlog.jobs == 0 {
            self.backlogs.remove(&job.caller);
        }
    }

    /// Whether the request is waiting.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Sum of the waiting work.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Lane of an adapter, if any request waits for it; `None` stands for requests without one.
    pub(super) fn lane(&self, lora: Option<LoraIx>) -> Option<&Lane> {
        self.lanes.get(&lora)
    }

    /// All lanes but that of the requests without an adapter.
    pub(super) fn adapter_lanes(&self) -> impl Iterator<Item = (LoraIx, &Lane)> {
        self.lanes
            .iter()
            .filter_map(|(lora, lane)| Some(((*lora)?, lane)))
    }

    /// Earliest of the latest start times, with its request.
    pub(super) fn first_start_by(&self) -> Option<(Millis, JobId)> {
        self.by_start.first().copied()
    }

    /// Waiting requests of a caller.
    pub(super) fn backlog(&self, caller: CallerIx) -> Backlog {
        self.backlogs.get(&caller).copied().unwrap_or_default()
    }

    /// Callers with waiting requests, and their backlogs.
    pub(super) fn backlogs(&self) -> impl Iterator<Item = (CallerIx, Backlog)> {
        self.backlogs.iter().map(|(c, b)| (*c, *b))
    }

    /// Caller with the most waiting requests per claim.
    pub(super) fn largest_backlog(&self) -> Option<CallerIx> {
        self.backlogs()
            .max_by(|a, b| a.1.jobs_per_claim().total_cmp(&b.1.jobs_per_claim()))
            .map(|(caller, _)| caller)
    }

    /// Request of a caller with the latest deadline.
    pub(super) fn last_due_of(&self, caller: CallerIx) -> Option<JobId> {
        let of_caller = |w: &&WaitingJob| w.job.caller == caller;
        self.jobs
            .values()
            .filter(of_caller)
            .max_by_key(|w| (w.job.deadline, w.job.id))
            .map(|w| w.job.id)
    }

    /// All waiting requests.
    pub(super) fn ids(&self) -> Vec<JobId> {
        self.jobs.keys().copied().collect()
    }
}
