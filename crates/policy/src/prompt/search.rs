//! The entry's search for a turn: engines that must answer at once, then one that is waited at.
//!
//! Places for adapters are the scarce good where streams last for seconds, and what an entry knows of
//! them is a fifth of a second old. An engine that has none refuses at once, in the time of one exchange;
//! only when some have, the request waits, at the best of all and for as long as its caller does. Its
//! place in one line is kept: it does not begin anew at the end of another.

use std::collections::BTreeSet;

/// Engines that are asked to answer at once. Of requests for rare adapters 0.949 had their first event in
/// time, and 0.926 where each waited at the first engine (`prompt_load`); with ten asked, 4 in 100 more
/// adapters came from the weight store over 16 played days.
const ASKS: u32 = 6;

/// Search of one request.
#[derive(Clone, Debug, Default)]
pub struct TurnSearch {
    asks: u32,
    /// Had no turn to give at once.
    refused: BTreeSet<String>,
    /// Can't serve the request, whatever they have to give.
    failed: BTreeSet<String>,
}

impl TurnSearch {
    /// Whether `instance` may be asked next.
    #[must_use]
    pub fn is_candidate(&self, instance: &str) -> bool {
        !self.failed.contains(instance) && (self.will_wait() || !self.refused.contains(instance))
    }

    /// Whether the next engine asked is the one where the request waits.
    #[must_use]
    pub fn will_wait(&self) -> bool {
        self.asks >= ASKS
    }

    /// Counts an ask; gives whether the request waits there, or `None` if it has waited already.
    pub fn count_ask(&mut self) -> Option<bool> {
        if self.asks > ASKS {
            return None;
        }
        let stays = self.will_wait();
        self.asks += 1;
        Some(stays)
    }

    /// No engine is left that could answer at once; gives whether one may still be waited at.
    pub fn switch_to_waiting(&mut self) -> bool {
        let left = !self.will_wait() && !self.refused.is_empty();
        self.asks = self.asks.max(ASKS);
        left
    }

    /// `instance` had no turn to give.
    pub fn record_refusal(&mut self, instance: &str) {
        self.refused.insert(instance.to_owned());
    }

    /// `instance` can't serve the request, or has had it.
    pub fn exclude(&mut self, instance: &str) {
        self.failed.insert(instance.to_owned());
    }

    /// Whether `instance` can't serve the request, or has had it.
    #[must_use]
    pub fn is_excluded(&self, instance: &str) -> bool {
        self.failed.contains(instance)
    }

    /// Begins anew, without those that failed.
    pub fn restart(&mut self) {
        self.asks = 0;
        self.refused.clear();
    }
}
