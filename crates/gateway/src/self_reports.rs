//! What upstreams report of themselves in their responses: that they are leaving, or that they want no
//! requests for a time.
//!
//! A report overrides the list, agents and other gateways, and also later responses: the list may be
//! unavailable or outdated, and a response may have been delayed. Only a restart of the upstream ends it.

use std::collections::BTreeMap;

use pumicecleat_catalog::Upstream;
use pumicecleat_types::Millis;

/// Time for which a leaving upstream is remembered. Much longer than it continues to run, and than an
/// outdated entry of it may return to the list.
const DEPARTURE_MEMORY: Millis = Millis(600_000);

/// Maximum backoff. A longer one is taken for a mistake that would leave the upstream idle.
const MAX_BACKOFF: Millis = Millis(600_000);

/// Maximum number of upstreams in each collection. The leaving upstream that reported first is evicted first;
/// backoffs beyond the maximum are not stored.
const MAX_UPSTREAMS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Departure {
    reported_at: Millis,
    /// Start of the upstream that sent the report, if known.
    born: Option<u64>,
}

/// Time during which an upstream wants no requests.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Millis,
    /// Start of the upstream that sent the report, if known.
    born: Option<u64>,
}

/// Reports of upstreams, by instance.
#[derive(Debug, Default)]
pub(crate) struct SelfReports {
    departures: BTreeMap<String, Departure>,
    backoffs: BTreeMap<String, Backoff>,
}

impl SelfReports {
    /// Records that `upstream` is leaving; returns whether this is new.
    pub(crate) fn record_leaving(&mut self, upstream: &Upstream, now: Millis) -> bool {
        let is_new = !self.is_leaving(upstream);
        self.departures
            .retain(|_, d| now.since(d.reported_at) < DEPARTURE_MEMORY);
        if is_new {
            self.evict_oldest();
            let born = upstream.born;
            let instance = upstream.instance.clone();
            self.departures.insert(
                instance,
                Departure {
                    reported_at: now,
                    born,
                },
            );
        }
        is_new
    }

    /// Whether this start of `upstream` has reported that it is leaving.
    pub(crate) fn is_leaving(&self, upstream: &Upstream) -> bool {
        let departure = self.departures.get(&upstream.instance);
        departure.is_some_and(|d| is_same_start(d.born, upstream))
    }

    /// Records that `upstream` wants no requests for `span`; returns the time for which it gets none.
    pub(crate) fn record_backoff(
        &mut self,
        upstream: &Upstream,
        span: Millis,
        now: Millis,
    ) -> Millis {
        self.backoffs.retain(|_, b| b.until > now);
        let span = span.min(MAX_BACKOFF);
        let backoff = Backoff {
            until: now + span,
            born: upstream.born,
        };
        if span > Millis(0)
            && (self.backoffs.len() < MAX_UPSTREAMS
                || self.backoffs.contains_key(&upstream.instance))
        {
            let stored = self
                .backoffs
                .entry(upstream.instance.clone())
                .or_insert(backoff);
            stored.until = stored.until.max(backoff.until);
            stored.born = backoff.born;
        }
        span
    }

    /// Time for which this start of `upstream` still wants no requests.
    pub(crate) fn backoff_left(&self, upstream: &Upstream, now: Millis) -> Option<Millis> {
        let backoff = self.backoffs.get(&upstream.instance)?;
        let is_active = backoff.until > now && is_same_start(backoff.born, upstream);
        is_active.then(|| backoff.until.since(now))
    }

    fn evict_oldest(&mut self) {
        if self.departures.len() < MAX_UPSTREAMS {
            return;
        }
        let oldest = self.departures.iter().min_by_key(|(_, d)| d.reported_at);
        if let Some(instance) = oldest.map(|(i, _)| i.clone()) {
            self.departures.remove(&instance);
        }
    }
}

/// Whether `upstream` is, as far as is known, the start that sent the report.
fn is_same_start(born: Option<u64>, upstream: &Upstream) -> bool {
    born.is_none() || upstream.born <= born
}
