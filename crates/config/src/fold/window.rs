//! Verdicts on recent changes, and digests of recent revisions.

use std::collections::{BTreeMap, VecDeque};

use super::event::Verdict;
use super::record::{ChangeId, SettledChange};
use crate::digest::Digest;

/// Number of changes whose verdicts are remembered: more than half an hour at 39,000 per day.
pub const VERDICT_WINDOW: usize = 1024;

/// Recent verdicts, oldest first, and the digests of recent revisions.
#[derive(Clone, Debug)]
pub(super) struct Window {
    settled: VecDeque<SettledChange>,
    ids: BTreeMap<ChangeId, Verdict>,
    revisions: BTreeMap<u64, Digest>,
}

impl Default for Window {
    fn default() -> Self {
        Self::new(0, crate::digest::digest(&crate::model::Config::default()))
    }
}

impl Window {
    /// Creates a window without verdicts, at a revision.
    pub(super) fn new(revision: u64, digest: Digest) -> Self {
        Self {
            settled: VecDeque::new(),
            ids: BTreeMap::new(),
            revisions: BTreeMap::from([(revision, digest)]),
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

    /// Adds a revision with its digest.
    pub(super) fn record_revision(&mut self, revision: u64, digest: Digest) {
        self.revisions.insert(revision, digest);
        if self.revisions.len() > VERDICT_WINDOW {
            self.revisions.pop_first();
        }
    }

    /// Returns the revision in force before the record at `next` and its digest, if still
    /// remembered.
    pub(super) fn revision_at(&self, next: u64) -> Option<(u64, Digest)> {
        let (revision, digest) = self.revisions.range(..=next).next_back()?;
        Some((*revision, *digest))
    }

    pub(super) fn to_vec(&self) -> Vec<SettledChange> {
        self.settled.iter().cloned().collect()
    }

    /// Whether this window may result from the window `earlier` as of offset `next`.
    pub(super) fn extends(&self, earlier: &[SettledChange], next: u64) -> bool {
        let shared = self.settled.iter().take_while(|s| s.offset < next);
        let count = shared.clone().count();
        let Some(skipped) = earlier.len().checked_sub(count) else {
            return false;
        };
        shared.eq(&earlier[skipped..])
    }
}
