//! Requests whose connection to an upstream was lost, until it is known whether the upstream ended.

use std::collections::BTreeMap;

use pumicecleat_types::{Fingerprint, Millis};

/// Time after a lost connection within which its upstream may be found to have ended: three heartbeats, after
/// which the list drops it, and the time until another upstream takes its address.
const WATCH_SPAN: Millis = Millis(10_000);

/// A request whose connection was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Broken {
    pub(super) at: Millis,
    /// No other suspect was in progress there.
    pub(super) alone: bool,
}

/// Connections lost at one upstream.
#[derive(Debug, Default)]
struct Break {
    /// Requests whose connection was lost.
    requests: BTreeMap<Fingerprint, Broken>,
    /// A connection was lost since the upstream was last probed.
    fresh: bool,
    /// When the upstream was found to have ended.
    ended: Option<Millis>,
}

/// Lost connections, by the key of the upstream's start.
#[derive(Debug, Default)]
pub(super) struct Breaks {
    open: BTreeMap<u64, Break>,
}

impl Breaks {
    /// Adds a request if connections were lost at that upstream before; returns whether the upstream is known
    /// to have ended, or `None` if no connection was lost there.
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

    /// Adds the first request that lost its connection there.
    pub(super) fn open(&mut self, key: u64, fingerprint: Fingerprint, broken: Broken) {
        let first = Break {
            requests: BTreeMap::from([(fingerprint, broken)]),
            fresh: true,
            ended: None,
        };
        self.open.insert(key, first);
    }

    /// Whether a connection was lost there since the last call.
    pub(super) fn take_fresh(&mut self, key: u64) -> bool {
        let known = self.open.get_mut(&key);
        known.is_some_and(|b| std::mem::take(&mut b.fresh))
    }

    /// Records that the upstream has ended; returns the requests that were in progress there.
    pub(super) fn end(&mut self, key: u64, now: Millis) -> Vec<(Fingerprint, bool)> {
        let Some(known) = self.open.get_mut(&key) else {
            return Vec::new();
        };
        known.ended = Some(now);
        let requests = known.requests.iter();
        requests.map(|(f, broken)| (*f, broken.alone)).collect()
    }

    /// Removes expired requests; returns whether any are left.
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
