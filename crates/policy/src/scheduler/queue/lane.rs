//! Waiting requests for one adapter, by caller.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::Millis;

use super::super::{Job, JobId};
use crate::CallerIx;

/// Order among one caller's requests: priority, then deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::scheduler) struct Rank {
    priority: Reverse<u8>,
    /// When the answer is due.
    pub(in crate::scheduler) deadline: Millis,
    /// Request.
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

/// A request's caller and its rank there.
#[derive(Clone, Copy, Debug)]
pub(in crate::scheduler) struct Head {
    /// Caller.
    pub(in crate::scheduler) caller: CallerIx,
    /// Rank.
    pub(in crate::scheduler) rank: Rank,
}

/// Waiting requests for one adapter.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct Lane {
    ranks: BTreeMap<CallerIx, BTreeSet<Rank>>,
    arrived: BTreeSet<(Millis, JobId)>,
    starts: BTreeSet<(Millis, JobId)>,
    tokens: u64,
}

impl Lane {
    pub(super) fn add(&mut self, job: &Job, start: Millis) {
        self.ranks
            .entry(job.caller)
            .or_default()
            .insert(Rank::of(job));
        self.arrived.insert((job.arrived, job.id));
        self.starts.insert((start, job.id));
        self.tokens += u64::from(job.tokens);
    }

    pub(super) fn remove(&mut self, job: &Job, start: Millis) {
        self.arrived.remove(&(job.arrived, job.id));
        self.starts.remove(&(start, job.id));
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
        self.arrived.is_empty()
    }

    /// Requests waiting.
    pub(in crate::scheduler) fn count(&self) -> usize {
        self.arrived.len()
    }

    /// Work waiting.
    pub(in crate::scheduler) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Arrival of the oldest.
    pub(in crate::scheduler) fn oldest(&self) -> Option<Millis> {
        self.arrived.first().map(|(at, _)| *at)
    }

    /// Least time by which one must start.
    pub(in crate::scheduler) fn start_by(&self) -> Option<Millis> {
        self.starts.first().map(|(at, _)| *at)
    }

    /// Requests that must start before then.
    pub(in crate::scheduler) fn late(&self, at: Millis) -> impl Iterator<Item = JobId> {
        let starts = self.starts.iter().take_while(move |(start, _)| *start < at);
        starts.map(|(_, id)| *id)
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

    /// Every request.
    pub(in crate::scheduler) fn ids(&self) -> impl Iterator<Item = JobId> {
        self.arrived.iter().map(|(_, id)| *id)
    }
}
