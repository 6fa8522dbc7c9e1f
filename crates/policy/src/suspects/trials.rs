//! Permission to send a suspect once more, given by one process for all.
//!
//! The first time a suspect is sent beside others that are on trial: nearly all are harmless, and are
//! cleared at once. If the upstream ends under them too, each is sent once more, at an upstream where no
//! other is on trial. What ends that as well is the cause.

use std::collections::BTreeMap;

use pumicecleat_types::{Fingerprint, Millis, Trial};

/// Time for an upstream's end to be known to all: a trial without one by then, as when its caller leaves or
/// its stream is long, keeps others waiting no longer. It doubles with each such trial.
const OUTCOME: Millis = Millis(3_000);

/// Longest such time.
const OUTCOME_MOST: Millis = Millis(96_000);

/// Time after which a trial has no say any more.
const REST: Millis = Millis(600_000);

/// Longest time to come back that is told while a trial has no outcome: most have one by then.
const RETRY_MOST: Millis = Millis(2_000);

/// Most requests kept; the one tried longest ago goes first.
const KEPT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Given {
    at: Millis,
    trial: Trial,
    /// Upstreams that the request may have ended before.
    ends: usize,
    /// Time for its outcome.
    wait: Millis,
}

/// Trials that were permitted.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    given: BTreeMap<Fingerprint, Given>,
}

impl Trials {
    /// Asks for permission for a request under which `ends` upstreams ended.
    ///
    /// # Errors
    /// When to ask again, if it has none.
    pub fn try_grant(
        &mut self,
        fingerprint: Fingerprint,
        ends: usize,
        now: Millis,
    ) -> Result<Trial, Millis> {
        let before = self.given.get(&fingerprint);
        let before = before.filter(|given| now.since(given.at) < REST);
        let given = match before {
            Some(before) => before.next(ends, now)?,
            None => Given {
                at: now,
                trial: Trial::Shared,
                ends,
                wait: OUTCOME,
            },
        };
        self.make_room(&fingerprint);
        self.given.insert(fingerprint, given);
        Ok(given.trial)
    }

    /// Permission that was given is not used.
    pub fn give_back(&mut self, fingerprint: &Fingerprint) {
        let Some(given) = self.given.remove(fingerprint) else {
            return;
        };
        if given.trial == Trial::Alone {
            // The shared one before it was used, and an upstream ended under it.
            let (trial, ends) = (Trial::Shared, given.ends.saturating_sub(1));
            let before = Given {
                trial,
                ends,
                ..given
            };
            self.given.insert(*fingerprint, before);
        }
    }

    fn make_room(&mut self, fingerprint: &Fingerprint) {
        if self.given.len() < KEPT || self.given.contains_key(fingerprint) {
            return;
        }
        let oldest = self.given.iter().min_by_key(|(_, g)| g.at).map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.given.remove(&oldest);
        }
    }
}

impl Given {
    /// Trial that follows at `now`, when `ends` upstreams have ended.
    fn next(&self, ends: usize, now: Millis) -> Result<Self, Millis> {
        // Under a request that is alone an upstream's end is proof; another end may be of any other try.
        let shared_failed = self.trial == Trial::Shared && ends > self.ends;
        let left = (self.at + self.wait).since(now);
        if !shared_failed && left > Millis(0) {
            return Err(left.min(RETRY_MOST));
        }
        let doubled = Millis(self.wait.0 * 2).min(OUTCOME_MOST);
        Ok(Self {
            at: now,
            trial: Trial::Alone,
            ends,
            wait: if shared_failed { OUTCOME } else { doubled },
        })
    }
}
