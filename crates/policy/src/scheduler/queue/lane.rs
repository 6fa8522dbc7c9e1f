//! Waiting requests for one adapter, indexed by caller.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::Millis;

use super::super::{Job, JobId};
use crate::CallerIx;

/// Order among one caller's requests: by priority, then by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::scheduler) struct Rank {
    priority: Reverse<u8>,
    /// When the answer is due.
    pub(in crate::scheduler) deadline: Millis,
    pub(in crate::scheduler) id: JobId,
}

impl Rank {
    pub(super) fn of(job: &Job) -> Self {
        Self {
            priority: Reverse(job.priority),
            deadline: job.deadline,
            id: job.id,
        }
    }
}

/// First request of one caller, with its rank.
#[derive(Clone, Copy, Debug)]
pub(in crate::scheduler) struct Head {
    pub(in crate::scheduler) caller: CallerIx,
    pub(in crate::scheduler) rank: Rank,
}

/// Waiting requests for one adapter.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct Lane {
    ranks: BTreeMap<CallerIx, BTreeSet<Rank>>,
    by_arrival: BTreeSet<(Millis, JobId)>,
    by_start: BTreeSet<(Millis, JobId)>,
    tokens: u64,
}

impl Lane {
    pub(super) fn add(&mut self, job: &Job, start_by: Millis) {
        self.ranks
            .entry(job.caller)
            .or_default()
            .insert(Rank::of(job));
        self.by_arrival.insert((job.arrived, job.id));
        self.by_start.insert((start_by, job.id));
        self.tokens += u64::from(job.tokens);
    }

    pub(super) fn remove(&mut self, job: &Job, start_by: Millis) {
        self.by_arrival.remove(&(job.arrived, job.id));
        self.by_start.remove(&(start_by, job.id));
        self.tokens -= u64::from(job.tokens);
        let Some(ranks) = self.ranks.get_mut(&job.caller) else {
            return;
        };
        ranks.remove(&Rank::of(job));
        if ranks.is_empty() {
            self.ranks.remove(&job.caller);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_arrival.is_empty()
    }

    /// Number of waiting requests.
    pub(in crate::scheduler) fn count(&self) -> usize {
        self.by_arrival.len()
    }

    /// Sum of the waiting work.
    pub(in crate::scheduler) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Arrival time of the oldest request.
    pub(in crate::scheduler) fn oldest_arrival(&self) -> Option<Millis> {
        self.by_arrival.first().map(|(at, _)| *at)
    }

    /// Earliest of the latest start times.
    pub(in crate::scheduler) fn first_start_by(&self) -> Option<Millis> {
        self.by_start.first().map(|(at, _)| *at)
    }

    /// Requests whose latest start time is before `at`.
    pub(in crate::scheduler) fn must_start_before(
        &self,
        at: Millis,
    ) -> impl Iterator<Item = JobId> {
        let due = self
            .by_start
            .iter()
            .take_while(move |(start_by, _)| *start_by < at);
        due.map(|(_, id)| *id)
    }

    /// First request of each caller.
    pub(in crate::scheduler) fn heads(&self) -> impl Iterator<Item = Head> {
        self.ranks.iter().filter_map(|(caller, ranks)| {
            let rank = *ranks.first()?;
            Some(Head {
                caller: *caller,
                rank,
            })
        })
    }

    /// All waiting requests.
    pub(in crate::scheduler) fn ids(&self) -> impl Iterator<Item = JobId> {
        self.by_arrival.iter().map(|(_, id)| *id)
    }
}
