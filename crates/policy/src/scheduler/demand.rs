//! Demand for each adapter: a rate of requests that decays.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use crate::LoraIx;

/// Time in which a rate halves, seconds.
const HALF_LIFE_S: f64 = 60.0;

/// Rates kept before the faded ones are dropped for the first time.
const KEEP: usize = 1024;

/// Count below which demand has faded.
const FADED: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Count {
    value: f64,
    at: Millis,
}

impl Count {
    fn now(self, now: Millis) -> f64 {
        let halves = now.since(self.at).as_secs() / HALF_LIFE_S;
        self.value * (-halves).exp2()
    }
}

/// Decayed counts of requests by adapter.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    counts: BTreeMap<LoraIx, Count>,
    /// Rates kept until the faded ones are dropped.
    keep: usize,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            counts: BTreeMap::new(),
            keep: KEEP,
        }
    }
}

impl Demand {
    /// Counts one request.
    pub(super) fn hit(&mut self, lora: LoraIx, now: Millis) {
        if self.counts.len() >= self.keep {
            self.counts.retain(|_, c| c.now(now) >= FADED);
            self.keep = KEEP.max(self.counts.len() * 2);
        }
        let value = self.rate(lora, now) + 1.0;
        self.counts.insert(lora, Count { value, at: now });
    }

    /// Requests counted, each halved by its age.
    pub(super) fn rate(&self, lora: LoraIx, now: Millis) -> f64 {
        self.counts.get(&lora).map_or(0.0, |c| c.now(now))
    }
}
