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
const MEMORY: Millis = Millis(600_000);

/// Maximum backoff. A longer one is taken for a mistake that would leave the upstream idle.
const REST_MOST: Millis = Millis(600_000);

/// Maximum number of upstreams in each collection. The leaving upstream that reported first is evicted first;
/// backoffs beyond the maximum are not stored.
const KEPT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Leaver {
    at: Millis,
    /// Start of the upstream that sent the report, if known.
    born: Option<u64>,
}

/// Time during which an upstream wants no requests.
#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Millis,
    /// Start of the upstream that sent the report, if known.
    born: Option<u64>,
}

/// Reports of upstreams, by instance.
#[derive(Debug, Default)]
pub(crate) struct OwnWords {
    leavers: BTreeMap<String, Leaver>,
    rests: BTreeMap<String, Rest>,
}

impl OwnWords {
    /// Records that `upstream` is leaving; returns whether this is new.
    pub(crate) fn leaves(&mut self, upstream: &Upstream, now: Millis) -> bool {
        let new = !self.is_leaving(upstream);
        self.leavers.retain(|_, l| now.since(l.at) < MEMORY);
        if new {
            self.make_room();
            let born = upstream.born;
            let instance = upstream.instance.clone();
            self.leavers.insert(instance, Leaver { at: now, born });
        }
        new
    }

    /// Whether this start of `upstream` has reported that it is leaving.
    pub(crate) fn is_leaving(&self, upstream: &Upstream) -> bool {
        let said = self.leavers.get(&upstream.instance);
        said.is_some_and(|l| is_same_start(l.born, upstream))
    }

    /// Records that `upstream` wants no requests for `span`; returns the time for which it gets none.
    pub(crate) fn rests(&mut self, upstream: &Upstream, span: Millis, now: Millis) -> Millis {
        self.rests.retain(|_, r| r.until > now);
        let span = span.min(REST_MOST);
        let rest = Rest {
            until: now + span,
            born: upstream.born,
        };
        if span > Millis(0)
            && (self.rests.len() < KEPT || self.rests.contains_key(&upstream.instance))
        {
            let known = self.rests.entry(upstream.instance.clone()).or_insert(rest);
            known.until = known.until.max(rest.until);
            known.born = rest.born;
        }
        span
    }

    /// Time for which this start of `upstream` still wants no requests.
    pub(crate) fn rest_left(&self, upstream: &Upstream, now: Millis) -> Option<Millis> {
        let rest = self.rests.get(&upstream.instance)?;
        let open = rest.until > now && is_same_start(rest.born, upstream);
        open.then(|| rest.until.since(now))
    }

    fn make_room(&mut self) {
        if self.leavers.len() < KEPT {
            return;
        }
        let first = self.leavers.iter().min_by_key(|(_, l)| l.at);
        if let Some(instance) = first.map(|(i, _)| i.clone()) {
            self.leavers.remove(&instance);
        }
    }
}

/// Whether `upstream` is, as far as is known, the start that sent the report.
fn is_same_start(born: Option<u64>, upstream: &Upstream) -> bool {
    born.is_none() || upstream.born <= born
}
