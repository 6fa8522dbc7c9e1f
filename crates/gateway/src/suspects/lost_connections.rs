//! Requests whose connection to an upstream was lost, until it is known whether the upstream ended.

use std::collections::BTreeMap;

use pumicecleat_types::{Fingerprint, Millis};

/// Time after a lost connection within which its upstream may be found to have ended: three heartbeats, after
/// which the list drops it, and the time until another upstream takes its address.
const END_DETECTION_SPAN: Millis = Millis(10_000);

/// A request whose connection was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRequest {
    pub(super) lost_at: Millis,
    /// No other suspect was in progress there.
    pub(super) alone: bool,
}

/// Connections lost at one upstream.
#[derive(Debug, Default)]
struct UpstreamLosses {
    /// Requests whose connection was lost.
    requests: BTreeMap<Fingerprint, LostRequest>,
    /// A connection was lost since the upstream was last probed.
    unprobed: bool,
    /// When the upstream was found to have ended.
    ended_at: Option<Millis>,
}

/// Lost connections, by the key of the upstream's start.
#[derive(Debug, Default)]
pub(super) struct LostConnections {
    upstreams: BTreeMap<u64, UpstreamLosses>,
}

impl LostConnections {
    /// Adds a request if connections were lost at that upstream before; returns whether the upstream is known
    /// to have ended, or `None` if no connection was lost there.
    pub(super) fn add(
        &mut self,
        key: u64,
        fingerprint: Fingerprint,
        lost: LostRequest,
    ) -> Option<bool> {
        let losses = self.upstreams.get_mut(&key)?;
        losses.requests.insert(fingerprint, lost);
        losses.unprobed = true;
        Some(losses.ended_at.is_some())
    }

    /// Adds the first request that lost its connection there.
    pub(super) fn add_first(&mut self, key: u64, fingerprint: Fingerprint, lost: LostRequest) {
        let first = UpstreamLosses {
            requests: BTreeMap::from([(fingerprint, lost)]),
            unprobed: true,
            ended_at: None,
        };
        self.upstreams.insert(key, first);
    }

    /// Whether a connection was lost there since the last call.
    pub(super) fn take_unprobed(&mut self, key: u64) -> bool {
        let losses = self.upstreams.get_mut(&key);
        losses.is_some_and(|l| std::mem::take(&mut l.unprobed))
    }

    /// Records that the upstream has ended; returns the requests that were in progress there.
    pub(super) fn record_end(&mut self, key: u64, now: Millis) -> Vec<(Fingerprint, bool)> {
        let Some(losses) = self.upstreams.get_mut(&key) else {
            return Vec::new();
        };
        losses.ended_at = Some(now);
        let requests = losses.requests.iter();
        requests.map(|(f, lost)| (*f, lost.alone)).collect()
    }

    /// Removes expired requests; returns whether any are left.
    pub(super) fn prune(&mut self, key: u64, now: Millis) -> bool {
        let Some(losses) = self.upstreams.get_mut(&key) else {
            return false;
        };
        losses
            .requests
            .retain(|_, r| now.since(r.lost_at) < END_DETECTION_SPAN);
        let any_left = !losses.requests.is_empty();
        if !any_left {
            self.upstreams.remove(&key);
        }
        any_left
    }
}
