//! Choice of the process that grants units of allowances.
//!
//! All gateways use the first process by rank, without communication. One that failed is skipped until a call
//! without a request has shown that it answers again, so that no request waits for a process that is down.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pumicecleat_types::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// Interval between calls to a process that failed.
const PROBE_INTERVAL: Millis = Millis(1_000);

/// Selects the pool for one gateway.
#[derive(Clone, Debug, Default)]
pub struct PoolSelector {
    /// Last failure of each process that has not answered since.
    failures: BTreeMap<SocketAddr, Millis>,
}

impl PoolSelector {
    /// Returns the first by rank of `sides` that did not fail.
    #[must_use]
    pub fn pick(&self, sides: &[SocketAddr]) -> Option<SocketAddr> {
        let working = sides.iter().filter(|s| !self.failures.contains_key(*s));
        working.copied().min_by_key(rank)
    }

    /// Returns the first by rank of `sides` that failed, ranks before the pool in use and is due for a call.
    #[must_use]
    pub fn probe(&self, sides: &[SocketAddr], now: Millis) -> Option<SocketAddr> {
        let used = self.pick(sides).map(|s| rank(&s));
        let is_due = |s: &&SocketAddr| {
            let failed_at = self.failures.get(*s);
            failed_at.is_some_and(|at| now.since(*at) >= PROBE_INTERVAL)
        };
        let preferred = |s: &&SocketAddr| used.is_none_or(|used| rank(s) < used);
        let failed = sides.iter().filter(is_due).filter(preferred);
        failed.copied().min_by_key(rank)
    }

    /// Records that `side` did not answer in time.
    pub fn record_failure(&mut self, side: SocketAddr, now: Millis) {
        self.failures.insert(side, now);
    }

    /// Records that `side` answered; returns whether it had failed before.
    pub fn record_answer(&mut self, side: SocketAddr) -> bool {
        self.failures.remove(&side).is_some()
    }

    /// Forgets the failures of processes that are not among `sides`.
    pub fn retain(&mut self, sides: &[SocketAddr]) {
        self.failures.retain(|side, _| sides.contains(side));
    }
}

fn rank(side: &SocketAddr) -> u64 {
    xxh3_64(side.to_string().as_bytes())
}
