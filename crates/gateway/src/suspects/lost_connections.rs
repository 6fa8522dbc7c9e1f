//! Requests whose connection to an upstream was lost, until it is known whether the upstream ended.

use std::collections::BTreeMap;

use pumicecleat_policy::LostAttempt;
use pumicecleat_types::{Millis, SuspectKey};

/// Time after a lost connection within which its upstream may be found to have ended: three heartbeats, after
/// which the list drops it, and the time until another upstream takes its address.
const END_DETECTION_SPAN: Millis = Millis(10_000);

/// Connections lost at one upstream.
#[derive(Debug, Default)]
struct UpstreamLosses {
    /// Attempts whose connection was lost, by request.
    attempts: BTreeMap<SuspectKey, LostAttempt>,
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
    /// Adds an attempt if connections were lost at that upstream before; returns whether the upstream is known
    /// to have ended, or `None` if no connection was lost there.
    pub(super) fn add(&mut self, key: u64, lost: &LostAttempt) -> Option<bool> {
        let losses = self.upstreams.get_mut(&key)?;
        losses.attempts.insert(lost.request, lost.clone());
        losses.unprobed = true;
        Some(losses.ended_at.is_some())
    }

    /// Adds the first attempt that lost its connection there.
    pub(super) fn add_first(&mut self, key: u64, lost: LostAttempt) {
        let first = UpstreamLosses {
            attempts: BTreeMap::from([(lost.request, lost)]),
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

    /// Records that the upstream has ended; returns the attempts that were in progress there.
    pub(super) fn record_end(&mut self, key: u64, now: Millis) -> Vec<LostAttempt> {
        let Some(losses) = self.upstreams.get_mut(&key) else {
            return Vec::new();
        };
        losses.ended_at = Some(now);
        losses.attempts.values().cloned().collect()
    }

    /// Removes expired requests; returns whether any are left.
    pub(super) fn prune(&mut self, key: u64, now: Millis) -> bool {
        let Some(losses) = self.upstreams.get_mut(&key) else {
            return false;
        };
        losses
            .attempts
            .retain(|_, r| now.since(r.lost_at) < END_DETECTION_SPAN);
        let any_left = !losses.attempts.is_empty();
        if !any_left {
            self.upstreams.remove(&key);
        }
        any_left
    }
}
