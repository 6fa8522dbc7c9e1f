//! Demand for each adapter: a request count with exponential decay.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use crate::LoraIx;

/// Half-life of a count, in seconds.
const HALF_LIFE_S: f64 = 60.0;

/// Number of counts at which the decayed ones are first dropped.
const MIN_PRUNE_LEN: usize = 1024;

/// A count below this is dropped when pruning.
const MIN_KEPT_COUNT: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    value: f64,
    updated_at: Millis,
}

impl DecayingCount {
    fn value_at(self, now: Millis) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs() / HALF_LIFE_S;
        self.value * (-half_lives).exp2()
    }
}

/// Decaying request counts by adapter.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    counts: BTreeMap<LoraIx, DecayingCount>,
    /// Number of counts at which the decayed ones are dropped next.
    prune_len: usize,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            counts: BTreeMap::new(),
            prune_len: MIN_PRUNE_LEN,
        }
    }
}

impl Demand {
    /// Counts one request.
    pub(super) fn record(&mut self, lora: LoraIx, now: Millis) {
        if self.counts.len() >= self.prune_len {
            self.counts.retain(|_, c| c.value_at(now) >= MIN_KEPT_COUNT);
            self.prune_len = MIN_PRUNE_LEN.max(self.counts.len() * 2);
        }
        let value = self.decayed_count(lora, now) + 1.0;
        self.counts.insert(
            lora,
            DecayingCount {
                value,
                updated_at: now,
            },
        );
    }

    /// Decayed request count of the adapter.
    pub(super) fn decayed_count(&self, lora: LoraIx, now: Millis) -> f64 {
        self.counts.get(&lora).map_or(0.0, |c| c.value_at(now))
    }
}
