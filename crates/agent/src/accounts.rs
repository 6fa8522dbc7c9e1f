//! Count of turns by client account.

use std::cell::RefCell;
use std::collections::BTreeSet;

use pumicecleat_types::Turn;

use crate::meters::{AccountLabels, Meters};

/// Maximum number of accounts with a metric of their own, so that names of accounts can't fill the memory.
const MAX_ACCOUNTS: usize = 256;

/// Name of the metric that further accounts share. It can't be an account's, as it has no visible character.
const OTHER_ACCOUNTS: &str = "";

/// Accounts with a metric of their own.
#[derive(Debug, Default)]
pub(crate) struct CountedAccounts {
    labelled: RefCell<BTreeSet<String>>,
}

impl CountedAccounts {
    /// Counts the outcome of a request for a turn.
    pub(crate) fn count(&self, meters: &Meters, account: &str, turn: Turn) {
        let labels = AccountLabels {
            account: self.label(account).to_owned(),
            outcome: outcome(turn),
        };
        meters.account_turns.get_or_create(&labels).inc();
    }

    fn label<'a>(&self, account: &'a str) -> &'a str {
        let mut labelled = self.labelled.borrow_mut();
        if labelled.contains(account) {
            return account;
        }
        if labelled.len() >= MAX_ACCOUNTS {
            return OTHER_ACCOUNTS;
        }
        labelled.insert(account.to_owned());
        account
    }
}

/// Name of a turn's outcome in metrics.
pub(crate) fn outcome(turn: Turn) -> &'static str {
    match turn {
        Turn::Granted { .. } => "go",
        Turn::Refused { reason, .. } => reason.as_str(),
    }
}
