//! Leaving upstreams, which may close connections with requests in progress when they end.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

/// Time after an upstream's removal from the list from which its end counts as planned. Some upstreams leave
/// without an announcement and continue to serve for seconds; the removal of one that crashed may become
/// known just before its lost connections.
const PLANNED_END_DELAY: Millis = Millis(500);

/// Time for which leaving upstreams are remembered. Longer than an upstream continues to run.
const DEPARTURE_MEMORY: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Departure {
    departed_at: Millis,
    /// The upstream announced that it leaves; otherwise it was removed from the list without an announcement.
    announced: bool,
}

/// Leaving and removed upstreams, by instance.
#[derive(Debug, Default)]
pub(super) struct Departures {
    departures: BTreeMap<String, Departure>,
}

impl Departures {
    /// Records that an upstream leaves or was removed.
    pub(super) fn record(&mut self, instance: &str, announced: bool, now: Millis) {
        self.departures
            .retain(|_, d| now.since(d.departed_at) < DEPARTURE_MEMORY);
        let departure = Departure {
            departed_at: now,
            announced,
        };
        let stored = self
            .departures
            .entry(instance.to_owned())
            .or_insert(departure);
        stored.announced |= announced;
    }

    /// Whether the end of `instance` is planned.
    pub(super) fn is_planned(&self, instance: &str, now: Millis) -> bool {
        let stored = self.departures.get(instance);
        stored.is_some_and(|d| d.announced || now.since(d.departed_at) >= PLANNED_END_DELAY)
    }
}
