//! Suspects of one request: the request itself and the parts of its prompt.

use pumicecleat_types::{Millis, SuspectKey, SuspectKind};

use super::SuspectTable;

/// Time after the first byte of a response after which its upstream does not end because of the prompt.
pub const PROVING_TIME: Millis = Millis(500);

/// Time without an end under several suspected parts of a prompt after which they are tried together, because no other
/// requests tell them apart.
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
        let mut changed = Vec::new();
        let mut record = |table: &mut Self, key: SuspectKey| {
            let alone = lost.tried_alone == Some(key);
            if table.record_end(key, end_key, alone, lost.lost_at) {
                changed.push(key);
            }
        };
        record(self, lost.request);
        let is_part_tried = lost.tried_alone.is_some_and(|s| lost.parts.contains(&s));
        // A request that comes again and again explains the ends itself.
        if is_part_tried || !self.needs_trial(&lost.request, lost.lost_at) {
            for part in &lost.parts {
                record(self, *part);
            }
        }
        changed
    }

    /// Suspect among `keys` that is known to end upstreams; the one that is refused longest.
    #[must_use]
    pub fn known_cause(
        &self,
        keys: impl Iterator<Item = SuspectKey>,
        now: Millis,
    ) -> Option<SuspectKey> {
        let causes = keys.filter_map(|key| Some((self.retry_after(&key, now)?, key)));
        causes.max().map(|(_, key)| key)
    }

    /// Suspect among the `keys` of a request that its trial is for, if it needs one: the part of the prompt under which
    /// most upstreams ended, the last of equal ones because earlier parts are shared by more requests; or else the
    /// request.
    ///
    /// # Errors
    /// Fails if several parts need a trial and others may tell them apart: an end would show too little.
    pub fn main_suspect(
        &self,
        keys: impl Iterator<Item = SuspectKey>,
        now: Millis,
    ) -> Result<Option<SuspectKey>, SeveralSuspects> {
        let suspected: Vec<SuspectKey> = keys.filter(|key| self.needs_trial(key, now)).collect();
        let is_part = |key: &&SuspectKey| key.kind == SuspectKind::PromptPart;
        let parts = || suspected.iter().filter(is_part);
        let is_changing = |key: &SuspectKey| self.time_since_last_end(key, now) < QUIET_TIME;
        if parts().count() > 1 && parts().any(is_changing) {
            return Err(SeveralSuspects);
        }
        let main = parts().max_by_key(|key| self.end_count(key, now));
        Ok(main.or(suspected.first()).copied())
    }
}
