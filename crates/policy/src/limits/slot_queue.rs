//! Slots of upstreams' rate limits that a pool grants to all gateways.
//!
//! A pool ([`AllowancePool`](super::AllowancePool)) holds the limit of an upstream as an allowance of [`BURST`] requests
//! at once. A gateway asks it for each request, so that the gateways' shares follow their demand. While no pool
//! answers, the gateway uses its own share ([`RateLimits::reserve`](super::RateLimits::reserve)).
//!
//! ```text
//! requests in any window  <=  rate * window + BURST for each pool   accrued by all pools and own shares
//!                           + rate * ATTACHED_TTL for each move     of gateways between pools and own shares
//!                           + 1 for each pool                       a request that overdraws a balance
//! ```

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use super::allowance::AllowanceTerms;
use super::pace::MIN_RATE;

/// Largest number of upstreams for which waits are stored.
const MAX_UPSTREAMS: usize = 4_096;

/// Requests that a pool may grant at once. With 1, requests that wait for one interval each, and ask a millisecond
/// early, lost every second slot.
const BURST: f64 = 1.5;

/// Allowance of an upstream that announces `rate`, in requests per 1,000 seconds. Only part of an unused slot
/// is kept beyond one, and a pool that starts has none.
#[must_use]
pub fn limit_terms(rate: u64) -> AllowanceTerms {
    let rate = u32::try_from(rate.max(MIN_RATE)).unwrap_or(u32::MAX);
    AllowanceTerms {
        number: 0,
        rate: f64::from(rate) / 1_000.0,
        burst: BURST,
        tolerance: 0.0,
    }
}

/// Requests of one gateway that wait for a pool to have a slot, by upstream. Each waits for a time of its own: a pool
/// keeps no queue, and all would otherwise ask again at once.
#[derive(Clone, Debug, Default)]
pub struct SlotQueue {
    /// When the next request may ask.
    next_at: BTreeMap<String, Millis>,
}

impl SlotQueue {
    /// Time after which the next request for `instance` may ask the pool.
    #[must_use]
    pub fn wait(&self, instance: &str, now: Millis) -> Millis {
        self.next_at
            .get(instance)
            .map_or(Millis(0), |at| at.since(now))
    }

    /// Records that the pool has a slot of `instance` after `wait` at the earliest.
    pub fn note_refused(&mut self, instance: &str, wait: Millis, now: Millis) {
        self.next_at.retain(|_, at| *at > now);
        if self.next_at.len() < MAX_UPSTREAMS {
            let at = self.next_at.entry(instance.to_owned()).or_insert(now);
            *at = (*at).max(now + wait);
        }
    }

    /// Time for which a request waits before it asks the pool. The next one waits one interval of the `rate`
    /// longer, if this one waits at all.
    pub fn enter(&mut self, instance: &str, rate: u64, now: Millis) -> Millis {
        let wait = self.wait(instance, now);
        if let Some(at) = self.next_at.get_mut(instance).filter(|at| **at > now) {
            *at = *at + Millis(1_000_000 / rate.max(MIN_RATE));
        }
        wait
    }
}
