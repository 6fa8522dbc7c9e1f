//! Max-min fairness between client accounts at one engine.
//!
//! Accounts have equal weights. The demand of an account is what it was granted lately plus what it waits for;
//! what was granted lately over all accounts is divided by max-min fairness: accounts that demand less than an
//! equal part get their demand, and what they leave unused is divided equally among the others. An account
//! that was granted more than its share is above it.
//!
//! What was granted loses half its weight every 4 s. An account that sent much some time ago is therefore not
//! held to it, and one that starts late has precedence only for a few seconds.

mod level;
mod usage;

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::Millis;

use level::fair_level;
use usage::UsageTable;

/// Relative error of floating-point sums below which an account counts as being at its share.
const TOLERANCE: f64 = 1e-9;

/// Usage of client accounts, and which of them are above their share.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use pumicecleat_policy::AccountShares;
/// use pumicecleat_types::Millis;
///
/// let mut shares = AccountShares::default();
/// shares.record_grant("large", 4_000, Millis(0));
/// let waiting = BTreeMap::from([("large", 8_000), ("small", 500)]);
/// assert!(shares.above_share(&waiting, Millis(10)).contains("large"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AccountShares {
    usage: UsageTable,
}

impl AccountShares {
    /// Records prompt tokens granted to an account.
    pub fn record_grant(&mut self, account: &str, tokens: u64, now: Millis) {
        self.usage.add(account, tokens, now);
    }

    /// Accounts that were granted more than their max-min share of all that was granted lately. `waiting` are
    /// the prompt tokens that accounts wait for.
    #[must_use]
    pub fn above_share(&self, waiting: &BTreeMap<&str, u64>, now: Millis) -> BTreeSet<String> {
        self.above_share_by(0.0, waiting, now)
    }

    /// The same for accounts that are above by more than `part` of the share.
    #[must_use]
    pub fn above_share_by(
        &self,
        part: f64,
        waiting: &BTreeMap<&str, u64>,
        now: Millis,
    ) -> BTreeSet<String> {
        let granted = self.usage.granted(now);
        let total: f64 = granted.values().sum();
        let mut demands = granted.clone();
        for (account, tokens) in waiting {
            *demands.entry(account).or_default() += to_float(*tokens);
        }
        let level = fair_level(demands.into_values().collect(), total);
        let most = level * (1.0 + part) + total * TOLERANCE;
        let above = granted.into_iter().filter(|(_, granted)| *granted > most);
        above.map(|(account, _)| account.to_owned()).collect()
    }

    /// Number of accounts whose usage is kept.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.usage.len()
    }
}

#[allow(clippy::cast_precision_loss, reason = "tokens far below 2^52")]
fn to_float(tokens: u64) -> f64 {
    tokens as f64
}
