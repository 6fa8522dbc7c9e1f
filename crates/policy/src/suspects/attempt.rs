//! Suspects of one request: the request itself and the parts of its prompt.

use std::collections::BTreeSet;

use pumicecleat_types::{Millis, SuspectKey, SuspectKind};

use super::SuspectTable;

/// Time after the first byte of a response after which its upstream does not end because of the prompt.
pub const PROVING_TIME: Millis = Millis(500);

/// Time without an end under several suspected parts of a prompt after which they are tried together although different
/// ends count against them, because no other requests tell them apart.
const QUIET_TIME: Millis = Millis(4_000);

/// Several parts of a prompt need a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeveralSuspects;

/// An attempt that was in progress at an upstream when it ended.
#[derive(Clone, Debug)]
pub struct LostAttempt {
    /// The request.
    pub request: SuspectKey,
    /// Parts of its prompt, unless the response had begun [`PROVING_TIME`] before.
    pub parts: Vec<SuspectKey>,
    /// Suspect whose trial the attempt was, if no other suspect was in progress there.
    pub tried_alone: Option<SuspectKey>,
    /// When its connection was lost.
    pub lost_at: Millis,
}

impl SuspectTable {
    /// Records that an upstream ended during an attempt; returns the suspects for which this is new.
    pub fn record_lost(&mut self, lost: &LostAttempt, end_key: u64) -> Vec<SuspectKey> {
        let is_part = |key: SuspectKey| key.kind == SuspectKind::PromptPart;
        let is_part_tried = lost.tried_alone.is_some_and(is_part);
        let mut changed = BTreeSet::new();
        let alone = lost.tried_alone == Some(lost.request);
        if self.record_end(lost.request, end_key, alone, lost.lost_at) {
            changed.insert(lost.request);
        }
        // A request that comes again and again explains the ends itself.
        if is_part_tried || !self.needs_trial(&lost.request, lost.lost_at) {
            for part in &lost.parts {
                if self.record_end(*part, end_key, false, lost.lost_at) {
                    changed.insert(*part);
                }
            }
        }
        if is_part_tried {
            changed.extend(self.record_trial(lost, end_key));
        }
        changed.into_iter().collect()
    }

    /// Records that an upstream ended during the trial of all parts that need one; returns those.
    fn record_trial(&mut self, lost: &LostAttempt, end_key: u64) -> Vec<SuspectKey> {
        let is_tried = |key: &&SuspectKey| {
            lost.tried_alone == Some(**key) || self.needs_trial(key, lost.lost_at)
        };
        let mut tried: Vec<SuspectKey> = lost.parts.iter().filter(is_tried).copied().collect();
        tried.retain(|key| self.record_end(*key, end_key, true, lost.lost_at));
        tried
    }

    /// Suspect among `keys` that is known to end upstreams, or that belongs to a set of parts of which one does and which
    /// `keys` contain as a whole; the one that is refused longest.
    #[must_use]
    pub fn known_cause(
        &self,
        keys: impl Iterator<Item = SuspectKey>,
        now: Millis,
    ) -> Option<SuspectKey> {
        let keys: Vec<SuspectKey> = keys.collect();
        self.blocking_cause(&keys, now).map(|(_, key)| key)
    }

    /// Parts of a prompt among `keys` that need a trial.
    #[must_use]
    pub fn suspected_parts(&self, keys: &[SuspectKey], now: Millis) -> Vec<SuspectKey> {
        let is_part = |key: &&SuspectKey| key.kind == SuspectKind::PromptPart;
        let parts = keys.iter().filter(is_part).copied();
        parts.filter(|key| self.needs_trial(key, now)).collect()
    }

    /// Suspect that the trial of a request with `keys` is for, if it needs one: of the suspected parts of its prompt, and
    /// of those that were tried together with them, the one under which most upstreams ended; or else the request. Trials
    /// of requests that share a set of parts are thus for the same suspect, and one at a time.
    ///
    /// # Errors
    /// Fails if several parts need a trial against which different ends count, so that others may tell them apart: an end
    /// would show too little.
    pub fn main_suspect(
        &self,
        keys: impl Iterator<Item = SuspectKey>,
        now: Millis,
    ) -> Result<Option<SuspectKey>, SeveralSuspects> {
        let suspected: Vec<SuspectKey> = keys.filter(|key| self.needs_trial(key, now)).collect();
        let parts = self.suspected_parts(&suspected, now);
        let is_changing = |key: &SuspectKey| self.time_since_last_end(key, now) < QUIET_TIME;
        if self.may_be_told_apart(&parts) && parts.iter().any(is_changing) {
            return Err(SeveralSuspects);
        }
        let related = parts.iter().flat_map(|key| self.related_parts(key));
        let related: BTreeSet<SuspectKey> = related.collect();
        let ranked = related
            .into_iter()
            .map(|key| (self.end_count(&key, now), key));
        let ranked: BTreeSet<(usize, SuspectKey)> = ranked.collect();
        // A known cause gets no trial.
        let mut open = ranked.iter().rev().map(|(_, key)| *key);
        let main = open.find(|key| self.retry_after(key, now).is_none());
        Ok(main.or(suspected.first().copied()))
    }

    /// Whether other requests may tell these parts apart before any is blocked: different ends count against them.
    fn may_be_told_apart(&self, parts: &[SuspectKey]) -> bool {
        let Some((first, others)) = parts.split_first() else {
            return false;
        };
        let ends = self.end_keys(first);
        others.iter().any(|key| self.end_keys(key) != ends)
            && !parts.iter().any(|key| self.belongs_to_blocked_set(key))
    }
}
