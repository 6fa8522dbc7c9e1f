//! Verdicts on the last changes, and digests of the last revisions.

use std::collections::{BTreeMap, VecDeque};

use super::event::Verdict;
use super::record::{ChangeId, SettledChange};
use crate::digest::Digest;

/// Changes whose verdicts are remembered: more than half an hour of 39,000 a day.
pub const VERDICT_WINDOW: usize = 1024;

/// Last verdicts, oldest first.
#[derive(Clone, Debug)]
pub(super) struct Window {
    settled: VecDeque<SettledChange>,
    ids: BTreeMap<ChangeId, Verdict>,
    reached: BTreeMap<u64, Digest>,
}

impl Default for Window {
    fn default() -> Self {
        Self::new(0, crate::digest::digest(&crate::model::Config::default()))
    }
}

impl Window {
    /// Window without verdicts, at a revision.
    pub(super) fn new(revision: u64, digest: Digest) -> Self {
        Self {
            settled: VecDeque::new(),
            ids: BTreeMap::new(),
            reached: BTreeMap::from([(revision, digest)]),
        }
    }

    pub(super) fn verdict(&self, id: &ChangeId) -> Option<&Verdict> {
        self.ids.get(id)
    }

    pub(super) fn push(&mut self, settled: SettledChange) {
        self.ids.insert(settled.id.clone(), settled.verdict.clone());
        self.settled.push_back(settled);
        if self.settled.len() > VERDICT_WINDOW {
            let oldest = self.settled.pop_front();
            oldest.map(|o| self.ids.remove(&o.id));
        }
    }

    /// Notes a revision's digest.
    pub(super) fn reach(&mut self, revision: u64, digest: Digest) {
        self.reached.insert(revision, digest);
        if self.reached.len() > VERDICT_WINDOW {
            self.reached.pop_first();
        }
    }

    /// Revision in force before the record at `next`, with its digest, if still known.
    pub(super) fn at(&self, next: u64) -> Option<(u64, Digest)> {
        let (revision, digest) = self.reached.range(..=next).next_back()?;
        Some((*revision, *digest))
    }

    pub(super) fn to_vec(&self) -> Vec<SettledChange> {
        self.settled.iter().cloned().collect()
    }

    /// Whether a window as of `next` may be followed by this one.
    pub(super) fn follows(&self, earlier: &[SettledChange], next: u64) -> bool {
        let shared = self.settled.iter().take_while(|s| s.offset < next);
        let count = shared.clone().count();
        let Some(skipped) = earlier.len().checked_sub(count) else {
            return false;
        };
        shared.eq(&earlier[skipped..])
    }
}
