//! Recent demand for each adapter.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

/// Half-life of the counts. Long compared with a burst, short compared with a shift of demand, which takes
/// several seconds.
const HALF_LIFE_S: f64 = 8.0;

/// Count below which an adapter may be dropped.
const MIN_COUNT: f64 = 0.02;

/// Number of adapters above which those with a low count are dropped.
const PRUNE_ABOVE: usize = 512;

/// Exponentially decaying request counts by adapter.
#[derive(Clone, Debug, Default)]
pub(super) struct AdapterDemand {
    counts: BTreeMap<String, DecayingCount>,
}

#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    value: f64,
    updated_at: Millis,
}

impl DecayingCount {
    fn value_at(&self, now: Millis) -> f64 {
        self.value * (-now.since(self.updated_at).as_secs() / HALF_LIFE_S).exp2()
    }
}

impl AdapterDemand {
    /// Counts a request.
    pub(super) fn record(&mut self, adapter: &str, now: Millis) {
        let value = self.recent_count(adapter, now) + 1.0;
        self.counts.insert(
            adapter.to_owned(),
            DecayingCount {
                value,
                updated_at: now,
            },
        );
        if self.counts.len() > PRUNE_ABOVE {
            self.counts.retain(|_, c| c.value_at(now) > MIN_COUNT);
        }
    }

    /// Decayed request count of an adapter.
    pub(super) fn recent_count(&self, adapter: &str, now: Millis) -> f64 {
        self.counts.get(adapter).map_or(0.0, |c| c.value_at(now))
    }
}
