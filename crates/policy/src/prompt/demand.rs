//! How much each adapter is asked for.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

/// Half-life of the counts. Long against a burst, short against a shift of demand, which takes some
/// seconds.
const HALF_LIFE_S: f64 = 8.0;

/// Count below which an adapter is forgotten.
const FORGOTTEN: f64 = 0.02;

/// Adapters counted before the rare ones are looked for and forgotten.
const SWEEP: usize = 512;

/// Counts of requests by adapter, halved every few seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    counts: BTreeMap<String, Count>,
}

#[derive(Clone, Copy, Debug)]
struct Count {
    value: f64,
    at: Millis,
}

impl Count {
    fn now(&self, now: Millis) -> f64 {
        self.value * (-now.since(self.at).as_secs() / HALF_LIFE_S).exp2()
    }
}

impl Demand {
    /// Counts a request.
    pub(super) fn hit(&mut self, adapter: &str, now: Millis) {
        let value = self.of(adapter, now) + 1.0;
        self.counts
            .insert(adapter.to_owned(), Count { value, at: now });
        if self.counts.len() > SWEEP {
            self.counts.retain(|_, c| c.now(now) > FORGOTTEN);
        }
    }

    /// Count of an adapter, with what time has taken off.
    pub(super) fn of(&self, adapter: &str, now: Millis) -> f64 {
        self.counts.get(adapter).map_or(0.0, |c| c.now(now))
    }
}
