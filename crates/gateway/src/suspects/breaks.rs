//! Requests whose connection to an upstream broke off, until it is known whether the upstream ended.

use std::collections::BTreeMap;

use pumicecleat_types::{Fingerprint, Millis};

/// Time after a break within which its upstream may be found to have ended: three heartbeats, after which
/// the list drops it, and the time for another to take its address.
const WATCH_SPAN: Millis = Millis(10_000);

/// A request that broke off.
#[derive(Clone, Copy, Debug)]
pub(super) struct Broken {
    pub(super) at: Millis,
    /// No other suspect was under way there.
    pub(super) alone: bool,
}

/// What broke off at one upstream.
#[derive(Debug, Default)]
struct Break {
    /// Requests that broke off.
    requests: BTreeMap<Fingerprint, Broken>,
    /// Something broke off since the upstream was last looked at.
    fresh: bool,
    /// When it was found to have ended.
    ended: Option<Millis>,
}

/// What broke off, by the key of the upstream's start.
#[derive(Debug, Default)]
pub(super) struct Breaks {
    open: BTreeMap<u64, Break>,
}

impl Breaks {
    /// Adds a request where others broke off before; gives whether that upstream is known to have ended,
    /// or `None` if nothing broke off there.
    pub(super) fn join(
        &mut self,
        key: u64,
        fingerprint: Fingerprint,
        broken: Broken,
    ) -> Option<bool> {
        let known = self.open.get_mut(&key)?;
        known.requests.insert(fingerprint, broken);
        known.fresh = true;
        Some(known.ended.is_some())
    }

    /// The first request broke off there.
    pub(super) fn open(&mut self, key: u64, fingerprint: Fingerprint, broken: Broken) {
        let first = Break {
            requests: BTreeMap::from([(fingerprint, broken)]),
            fresh: true,
            ended: None,
        };
        self.open.insert(key, first);
    }

    /// Whether something broke off there since this was last asked.
    pub(super) fn take_fresh(&mut self, key: u64) -> bool {
        let known = self.open.get_mut(&key);
        known.is_some_and(|b| std::mem::take(&mut b.fresh))
    }

    /// The upstream has ended; gives the requests that were under way there.
    pub(super) fn end(&mut self, key: u64, now: Millis) -> Vec<(Fingerprint, bool)> {
        let Some(known) = self.open.get_mut(&key) else {
            return Vec::new();
        };
        known.ended = Some(now);
        let requests = known.requests.iter();
        requests.map(|(f, broken)| (*f, broken.alone)).collect()
    }

    /// Forgets what is over there; gives whether anything is left.
    pub(super) fn settle(&mut self, key: u64, now: Millis) -> bool {
        let Some(known) = self.open.get_mut(&key) else {
            return false;
        };
        known.requests.retain(|_, b| now.since(b.at) < WATCH_SPAN);
        let left = !known.requests.is_empty();
        if !left {
            self.open.remove(&key);
        }
        left
    }
}
