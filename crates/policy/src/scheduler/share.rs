//! Callers' shares: weighted max-min, kept by the work each caller has had per unit of its claim.
//!
//! The caller with the least work per claim goes first. One that comes back from idling starts at
//! the standing of those that wait, so that time without work earns nothing; work is never withheld
//! while the engine has room, so that unused claims go to whoever waits.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use crate::CallerIx;

/// Accounts kept before idle ones behind the clock are dropped for the first time.
const KEEP: usize = 1024;

/// Span for which a caller counts as active after a request.
const ACTIVE: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Account {
    spent: f64,
    seen: Millis,
}

/// Work had per claim.
#[derive(Clone, Debug)]
pub(super) struct Shares {
    clock: f64,
    accounts: BTreeMap<CallerIx, Account>,
    /// Accounts kept until idle ones are dropped.
    keep: usize,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            clock: 0.0,
            accounts: BTreeMap::new(),
            keep: KEEP,
        }
    }
}

impl Shares {
    /// A caller has a request; `backlog` tells whether others of its own wait already.
    pub(super) fn arrive(&mut self, caller: CallerIx, backlog: bool, now: Millis) {
        if self.accounts.len() >= self.keep {
            let clock = self.clock;
            self.accounts
                .retain(|_, a| a.spent > clock || now.since(a.seen) < ACTIVE);
            self.keep = KEEP.max(self.accounts.len() * 2);
        }
        let clock = self.clock;
        let account = self.accounts.entry(caller).or_insert(Account {
            spent: clock,
            seen: now,
        });
        account.seen = now;
        if !backlog {
            account.spent = account.spent.max(clock);
        }
    }

    /// Callers that had a request of late.
    pub(super) fn active(&self, now: Millis) -> usize {
        let accounts = self.accounts.values();
        accounts.filter(|a| now.since(a.seen) < ACTIVE).count()
    }

    /// Work had per claim.
    pub(super) fn standing(&self, caller: CallerIx) -> f64 {
        let account = self.accounts.get(&caller);
        account.map_or(self.clock, |a| a.spent)
    }

    /// Charges work to a caller.
    pub(super) fn charge(&mut self, caller: CallerIx, claim: u32, work: u32) {
        let cost = f64::from(work.max(1)) / f64::from(claim.max(1));
        if let Some(account) = self.accounts.get_mut(&caller) {
            account.spent += cost;
        }
    }

    /// Moves the clock up to the least standing of those that wait.
    pub(super) fn advance(&mut self, waiting: impl Iterator<Item = CallerIx>) {
        let least = waiting.map(|c| self.standing(c)).reduce(f64::min);
        if let Some(least) = least {
            self.clock = self.clock.max(least);
        }
    }
}
