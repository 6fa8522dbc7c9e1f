//! Callers' shares: weighted max-min, kept by the work each caller has had per unit of its claim.
//!
//! The caller with the least work per claim goes first. One that comes back from idling starts at
//! the standing of those that wait, so that time without work earns nothing; work is never withheld
//! while the engine has room, so that unused claims go to whoever waits.

use std::collections::BTreeMap;

use crate::CallerIx;

/// Standings kept at most before those behind the clock are dropped.
const KEEP: usize = 1024;

/// Work had per claim.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    clock: f64,
    spent: BTreeMap<CallerIx, f64>,
}

impl Shares {
    /// A caller without waiting requests has one again.
    pub(super) fn join(&mut self, caller: CallerIx) {
        if self.spent.len() >= KEEP {
            let clock = self.clock;
            self.spent.retain(|_, s| *s > clock);
        }
        let spent = self.spent.entry(caller).or_default();
        *spent = spent.max(self.clock);
    }

    /// Work had per claim.
    pub(super) fn standing(&self, caller: CallerIx) -> f64 {
        self.spent.get(&caller).copied().unwrap_or(self.clock)
    }

    /// Charges work to a caller.
    pub(super) fn charge(&mut self, caller: CallerIx, claim: u32, work: u32) {
        let cost = f64::from(work.max(1)) / f64::from(claim.max(1));
        let spent = self.standing(caller) + cost;
        self.spent.insert(caller, spent);
    }

    /// Moves the clock up to the least standing of those that wait.
    pub(super) fn advance(&mut self, waiting: impl Iterator<Item = CallerIx>) {
        let least = waiting.map(|c| self.standing(c)).reduce(f64::min);
        if let Some(least) = least {
            self.clock = self.clock.max(least);
        }
    }
}
