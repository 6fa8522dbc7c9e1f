//! What upstreams said of themselves in their answers: that they leave, or want nothing for a time.
//!
//! It holds whatever the list, agents or other gateways say, and whichever answers come later: a list may be
//! out or old, and an answer may have been on its way. Only another start of the upstream ends it.

use std::collections::BTreeMap;

use pumicecleat_catalog::Upstream;
use pumicecleat_types::Millis;

/// Time for which leaving is remembered: far longer than an upstream goes on after it, or an old entry of it
/// may come back.
const MEMORY: Millis = Millis(600_000);

/// Longest time for which an upstream is left alone: a longer one is a mistake, and would keep it idle.
const REST_MOST: Millis = Millis(600_000);

/// Most upstreams remembered; the one that spoke first goes first.
const KEPT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Leaver {
    at: Millis,
    /// Start of the upstream that said it, if it tells its starts.
    born: Option<u64>,
}

/// A time for which an upstream wants nothing.
#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Millis,
    /// Start of the upstream that said it, if it tells its starts.
    born: Option<u64>,
}

/// What upstreams said of themselves, by instance.
#[derive(Debug, Default)]
pub(crate) struct OwnWords {
    leavers: BTreeMap<String, Leaver>,
    rests: BTreeMap<String, Rest>,
}

impl OwnWords {
    /// `upstream` said that it leaves; gives whether that is new.
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

    /// Whether this start of `upstream` said that it leaves.
    pub(crate) fn is_leaving(&self, upstream: &Upstream) -> bool {
        let said = self.leavers.get(&upstream.instance);
        said.is_some_and(|l| is_same_start(l.born, upstream))
    }

    /// `upstream` wants nothing for `span`; gives the time for which it is left alone.
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

    /// Time for which this start of `upstream` still wants nothing.
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

/// Whether `upstream` is, as far as can be told, the start that spoke.
fn is_same_start(born: Option<u64>, upstream: &Upstream) -> bool {
    born.is_none() || upstream.born <= born
}
