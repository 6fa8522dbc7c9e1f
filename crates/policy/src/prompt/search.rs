//! Order in which a gateway asks engines for a turn: first several that have to answer at once, then one at
//! which the request waits.
//!
//! Where streams last for seconds, adapter slots are scarce, and what a gateway knows about them is a fifth
//! of a second old. An engine without an available slot refuses immediately, within one exchange. Only when
//! several engines have refused, the request waits at the best engine for as long as its caller does. It
//! keeps its position in that engine's queue and doesn't start again at the end of another.

use std::collections::BTreeSet;

/// Number of engines that have to answer at once. Of requests for rarely used adapters, 0.949 got their first
/// event in time, and 0.926 if each waited at the first engine (`prompt_load`). With ten engines, 4 in 100
/// more adapters were loaded from the weight store over 16 simulated days.
const IMMEDIATE_ASKS: u32 = 6;

/// Number of engines at which a request that is to wait may be refused for their rate limits. Each refusal takes
/// one exchange.
const MAX_LIMITED: usize = 6;

/// Search for an engine on behalf of one request.
#[derive(Clone, Debug, Default)]
pub struct TurnSearch {
    asks: u32,
    /// Engines that had no turn available at once.
    refused: BTreeSet<String>,
    /// Engines at which the request can't wait, because their rate limit leaves no slot in time.
    limited: BTreeSet<String>,
    /// Engines that can't serve the request, even if a turn becomes available.
    excluded: BTreeSet<String>,
}

impl TurnSearch {
    /// Whether `instance` may be asked next.
    #[must_use]
    pub fn is_candidate(&self, instance: &str) -> bool {
        !self.is_excluded(instance) && (self.will_wait() || !self.refused.contains(instance))
    }

    /// Whether the request waits at the next engine that is asked.
    #[must_use]
    pub fn will_wait(&self) -> bool {
        self.asks >= IMMEDIATE_ASKS
    }

    /// Counts an ask. Returns whether the request waits at that engine, or `None` if it has already waited.
    pub fn count_ask(&mut self) -> Option<bool> {
        if self.asks > IMMEDIATE_ASKS {
            return None;
        }
        let waits = self.will_wait();
        self.asks += 1;
        Some(waits)
    }

    /// Ends the immediate asks because no candidate is left. Returns whether the request may still wait at an
    /// engine that refused.
    pub fn switch_to_waiting(&mut self) -> bool {
        let may_wait = !self.will_wait() && !self.refused.is_empty();
        self.asks = self.asks.max(IMMEDIATE_ASKS);
        may_wait
    }

    /// Records that `instance` had no turn available.
    pub fn record_refusal(&mut self, instance: &str) {
        self.refused.insert(instance.to_owned());
    }

    /// Records that the rate limit of `instance` leaves no slot in time. If the request was to wait there, it waits
    /// at another engine instead: it was refused at once and has lost no position in a queue.
    pub fn record_limited(&mut self, instance: &str) {
        self.record_refusal(instance);
        let was_to_wait = self.asks > IMMEDIATE_ASKS;
        if was_to_wait && self.limited.len() < MAX_LIMITED {
            self.limited.insert(instance.to_owned());
            self.asks = IMMEDIATE_ASKS;
        }
    }

    /// Excludes `instance`, which can't serve the request or has already received it.
    pub fn exclude(&mut self, instance: &str) {
        self.excluded.insert(instance.to_owned());
    }

    /// Whether `instance` was excluded, or has no slot in time for this search.
    #[must_use]
    pub fn is_excluded(&self, instance: &str) -> bool {
        self.excluded.contains(instance) || self.limited.contains(instance)
    }

    /// Excluded engines.
    pub fn excluded(&self) -> impl Iterator<Item = &str> {
        self.excluded.iter().map(String::as_str)
    }

    /// Restarts the search; excluded engines stay excluded.
    pub fn restart(&mut self) {
        self.asks = 0;
        self.refused.clear();
        self.limited.clear();
    }
}
