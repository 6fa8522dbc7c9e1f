//! Permission to send a suspect again, granted by one process for all.
//!
//! In its first trial a suspect is sent together with other suspects on trial: nearly all of them are harmless
//! and are cleared immediately. If the upstream ends during the trial, each of them is sent once more, to an
//! upstream where no other suspect is on trial. A request during which that upstream ends as well is the cause.

use std::collections::BTreeMap;

use pumicecleat_types::{Millis, SuspectKey, SuspectKind, Trial};

/// Timeout of a trial, in which the end of an upstream becomes known to all processes. A trial without an outcome
/// by then, such as one whose caller disconnected or whose stream is long, no longer delays the next trial of the
/// request. The timeout doubles with each such trial.
const OUTCOME_TIMEOUT: Millis = Millis(3_000);

/// Maximum timeout of a trial.
const MAX_OUTCOME_TIMEOUT: Millis = Millis(96_000);

/// Time after which a trial is no longer taken into account.
const GRANT_TTL: Millis = Millis(600_000);

/// Maximum retry time returned while a trial has no outcome: most trials have one within this time.
const MAX_RETRY_AFTER: Millis = Millis(2_000);

/// Maximum number of requests stored; the request with the oldest trial is evicted first.
const MAX_GRANTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Grant {
    granted_at: Millis,
    trial: Trial,
    /// Number of ends that the request may have caused before the trial.
    ends: usize,
    outcome_timeout: Millis,
}

/// Trials that were granted.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    grants: BTreeMap<SuspectKey, Grant>,
}

impl Trials {
    /// Grants a trial to a request that may have caused `ends` ends, unless it must wait for the outcome of an
    /// earlier one.
    ///
    /// # Errors
    /// Returns the time after which to ask again.
    pub fn try_grant(
        &mut self,
        key: SuspectKey,
        ends: usize,
        now: Millis,
    ) -> Result<Trial, Millis> {
        let previous = self.grants.get(&key);
        let previous = previous.filter(|grant| now.since(grant.granted_at) < GRANT_TTL);
        let grant = match previous {
            Some(previous) => previous.next(key.kind, ends, now)?,
            None => Grant {
                granted_at: now,
                trial: first_trial(key.kind),
                ends,
                outcome_timeout: OUTCOME_TIMEOUT,
            },
        };
        self.evict_oldest(&key);
        self.grants.insert(key, grant);
        Ok(grant.trial)
    }

    /// Gives back a trial that was granted but not used.
    pub fn give_back(&mut self, key: &SuspectKey) {
        let Some(grant) = self.grants.remove(key) else {
            return;
        };
        if grant.trial == Trial::Exclusive && first_trial(key.kind) == Trial::Shared {
            // The shared trial before it was used, and an upstream ended during it.
            let (trial, ends) = (Trial::Shared, grant.ends.saturating_sub(1));
            let previous = Grant {
                trial,
                ends,
                ..grant
            };
            self.grants.insert(*key, previous);
        }
    }

    /// Evicts the oldest grant if there is no capacity for `key`.
    fn evict_oldest(&mut self, key: &SuspectKey) {
        if self.grants.len() < MAX_GRANTS || self.grants.contains_key(key) {
            return;
        }
        let oldest = self
            .grants
            .iter()
            .min_by_key(|(_, g)| g.granted_at)
            .map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.grants.remove(&oldest);
        }
    }
}

/// Kind of a suspect's first trial. A part of prompts is seldom suspected, and its requests end one more upstream in
/// each trial.
fn first_trial(kind: SuspectKind) -> Trial {
    match kind {
        SuspectKind::Request => Trial::Shared,
        SuspectKind::PromptPart => Trial::Exclusive,
    }
}

impl Grant {
    /// Next trial of the request, which may have caused `ends` ends by now.
    fn next(&self, kind: SuspectKind, ends: usize, now: Millis) -> Result<Self, Millis> {
        // The end of an upstream where a request is the only suspect proves that it is the cause. Any other
        // further end may come from another attempt of the request.
        let may_follow = self.trial == Trial::Shared || kind == SuspectKind::PromptPart;
        let has_failed = may_follow && ends > self.ends;
        let remaining = (self.granted_at + self.outcome_timeout).since(now);
        if !has_failed && remaining > Millis(0) {
            return Err(remaining.min(MAX_RETRY_AFTER));
        }
        let doubled = Millis(self.outcome_timeout.0 * 2).min(MAX_OUTCOME_TIMEOUT);
        Ok(Self {
            granted_at: now,
            trial: Trial::Exclusive,
            ends,
            outcome_timeout: if has_failed { OUTCOME_TIMEOUT } else { doubled },
        })
    }
}
