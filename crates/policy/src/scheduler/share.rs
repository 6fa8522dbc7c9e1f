//! Callers' shares: weighted max-min fairness, by the work charged to each caller per unit of its
//! claim.
//!
//! The caller with the least work per claim goes first. A caller that was idle starts at the
//! virtual time, the least work per claim among the waiting callers, so that idle time earns no
//! credit. Requests are never withheld for their shares while the engine has room, so that unused
//! shares go to the waiting callers.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use crate::CallerIx;

/// Number of accounts at which idle ones not ahead of the virtual time are first dropped.
const MIN_PRUNE_LEN: usize = 1024;

/// A caller counts as active for this time after a request.
const ACTIVE_TIME: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Account {
    work_per_claim: f64,
    last_arrival: Millis,
}

/// Work per claim of each caller.
#[derive(Clone, Debug)]
pub(super) struct Shares {
    virtual_time: f64,
    accounts: BTreeMap<CallerIx, Account>,
    /// Number of accounts at which idle ones are dropped next.
    prune_len: usize,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            virtual_time: 0.0,
            accounts: BTreeMap::new(),
            prune_len: MIN_PRUNE_LEN,
        }
    }
}

impl Shares {
    /// Records a request's arrival; `backlog` tells whether other requests of the caller wait
    /// already.
    pub(super) fn record_arrival(&mut self, caller: CallerIx, backlog: bool, now: Millis) {
        if self.accounts.len() >= self.prune_len {
            let virtual_time = self.virtual_time;
            self.accounts.retain(|_, a| {
                a.work_per_claim > virtual_time || now.since(a.last_arrival) < ACTIVE_TIME
            });
            self.prune_len = MIN_PRUNE_LEN.max(self.accounts.len() * 2);
        }
        let virtual_time = self.virtual_time;
        let account = self.accounts.entry(caller).or_insert(Account {
            work_per_claim: virtual_time,
            last_arrival: now,
        });
        account.last_arrival = now;
        if !backlog {
            account.work_per_claim = account.work_per_claim.max(virtual_time);
        }
    }

    /// Number of callers with a recent request.
    pub(super) fn active_callers(&self, now: Millis) -> usize {
        let accounts = self.accounts.values();
        accounts
            .filter(|a| now.since(a.last_arrival) < ACTIVE_TIME)
            .count()
    }

    /// Work charged to the caller per unit of its claim.
    pub(super) fn work_per_claim(&self, caller: CallerIx) -> f64 {
        let account = self.accounts.get(&caller);
        account.map_or(self.virtual_time, |a| a.work_per_claim)
    }

    /// Charges work to a caller.
    pub(super) fn charge(&mut self, caller: CallerIx, claim: u32, work: u32) {
        let cost = f64::from(work.max(1)) / f64::from(claim.max(1));
        if let Some(account) = self.accounts.get_mut(&caller) {
            account.work_per_claim += cost;
        }
    }

    /// Advances the virtual time to the least work per claim among the waiting callers.
    pub(super) fn advance_virtual_time(&mut self, waiting: impl Iterator<Item = CallerIx>) {
        let least = waiting.map(|c| self.work_per_claim(c)).reduce(f64::min);
        if let Some(least) = least {
            self.virtual_time = self.virtual_time.max(least);
        }
    }
}
