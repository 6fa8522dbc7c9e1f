//! Permission to send a suspect once more, given by one process for all.
//!
//! The first time a suspect is sent beside others that are on trial: nearly all are harmless, and are
//! cleared at once. If the upstream ends under them too, each is sent once more, at an upstream where no
//! other is on trial. What ends that as well is refused until it has rested.

use std::collections::BTreeMap;

use pumicecleat_types::{Fingerprint, Millis, Trial};

use super::TRIED_FROM;

/// Time for the outcome of a trial to be known to all: a whole answer, or an upstream's end.
const OUTCOME: Millis = Millis(10_000);

/// Time after which a request that failed its trials is tried anew: upstreams of another version may
/// be able to run it.
const REST: Millis = Millis(600_000);

/// Ends from which a request is refused: those before its trials, and one in each.
const REFUSED_FROM: usize = TRIED_FROM + 2;

/// Most requests kept; the one tried longest ago goes first.
const KEPT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Given {
    at: Millis,
    trial: Trial,
    /// Upstreams that the request may have ended before.
    ends: usize,
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
    pub fn ask(
        &mut self,
        fingerprint: Fingerprint,
        ends: usize,
        now: Millis,
    ) -> Result<Trial, Millis> {
        if let Some(rest) = Self::rest(ends) {
            return Err(rest);
        }
        let before = self.given.get(&fingerprint);
        let before = before.filter(|given| now.since(given.at) < REST);
        let trial = before.map_or(Ok(Trial::Shared), |given| given.next(ends, now))?;
        self.make_room(&fingerprint);
        let at = now;
        self.given.insert(fingerprint, Given { at, trial, ends });
        Ok(trial)
    }

    /// Time for which a request is refused whoever asks, if so many upstreams ended under it that it has
    /// had its trials.
    #[must_use]
    pub fn rest(ends: usize) -> Option<Millis> {
        (ends >= REFUSED_FROM).then_some(REST)
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
    fn next(&self, ends: usize, now: Millis) -> Result<Trial, Millis> {
        let age = now.since(self.at);
        let ended = ends > self.ends;
        if self.trial == Trial::Alone && (ended || age >= OUTCOME) {
            return Err(REST.since(age));
        }
        if ended || age >= OUTCOME {
            return Ok(Trial::Alone);
        }
        Err(OUTCOME.since(age))
    }
}
