//! What upstreams said of themselves in their answers: that they leave.
//!
//! It holds whatever the list, agents or other gateways say, and whichever answers come later: a list may be
//! out or old, and an answer may have been on its way. Only another start of the upstream ends it.

use std::collections::BTreeMap;

use pumicecleat_catalog::Upstream;
use pumicecleat_types::Millis;

/// Time for which leaving is remembered: far longer than an upstream goes on after it, or an old entry of it
/// may come back.
const MEMORY: Millis = Millis(600_000);

/// Most upstreams remembered; the one that spoke first goes first.
const KEPT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Leaver {
    at: Millis,
    /// Start of the upstream that said it, if it tells its starts.
    born: Option<u64>,
}

/// What upstreams said of themselves, by instance.
#[derive(Debug, Default)]
pub(crate) struct OwnWords {
    leavers: BTreeMap<String, Leaver>,
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
        said.is_some_and(|l| l.born.is_none() || upstream.born <= l.born)
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
