//! Times told to callers over their account's allowance, spaced by the units refused before them.

use std::collections::{BTreeMap, VecDeque};

use pumicecleat_types::Millis;

/// Longest time that is told because of other refused requests.
const MAX_RETURN_TIME: Millis = Millis(3_000);

/// Time after its return time for which units are left to a refused request.
const RETURN_GRACE: Millis = Millis(1_000);

/// Time by which a request may come early: retry times are sent in hundredths of a second, and clocks of
/// callers are not exact.
const EARLY_TOLERANCE: Millis = Millis(20);

/// Maximum number of refused requests of an account that are kept.
const MAX_ENTRIES: usize = 1_024;

/// Refused requests of all accounts that have not returned. Only the times told depend on it.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusalQueues {
    accounts: BTreeMap<String, VecDeque<Refusal>>,
}

/// A refused request that is expected to return.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    units: f64,
    due: Millis,
}

impl RefusalQueues {
    /// Records that a request of `account` arrives. Requests are not recognized: it counts as the return of the
    /// first refused one that is due.
    pub(super) fn record_arrival(&mut self, account: &str, now: Millis) {
        self.accounts.retain(|_, queue| {
            queue.retain(|r| now <= r.due + RETURN_GRACE);
            !queue.is_empty()
        });
        if let Some(queue) = self.accounts.get_mut(account)
            && queue
                .front()
                .is_some_and(|r| r.due <= now + EARLY_TOLERANCE)
        {
            queue.pop_front();
        }
    }

    /// Records a refusal of `units`, which are available after `wait` at a rate of `rate` units per second, and
    /// returns the time to tell: when what was refused before has been used as well.
    pub(super) fn refuse(
        &mut self,
        account: &str,
        units: f64,
        wait: Millis,
        rate: f64,
        now: Millis,
    ) -> Millis {
        let queue = self.accounts.entry(account.to_owned()).or_default();
        let ahead: f64 = queue.iter().map(|r| r.units).sum();
        let spaced = wait + super::allowance::wait_for(ahead, rate);
        let told = spaced.min(wait.max(MAX_RETURN_TIME));
        if queue.len() < MAX_ENTRIES {
            let due = now + told;
            let at = queue.partition_point(|r| r.due <= due);
            queue.insert(at, Refusal { units, due });
        }
        told
    }
}
