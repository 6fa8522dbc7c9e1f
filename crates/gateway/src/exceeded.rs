//! Accounts that ask for more than their allowance, for the log and the metrics.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_ops::{events, field};
use pumicecleat_types::Millis;

use crate::shared::Shared;

/// Time without a refusal after which an account is within its allowance again.
const KEPT_TIME: Millis = Millis(5_000);

/// Maximum number of accounts with a metric of their own; further ones share one.
const MAX_ACCOUNTS: usize = 256;

/// Name of the metric that further accounts share. It can't be an account's, as it has no visible character.
const OTHER_ACCOUNTS: &str = "";

/// Accounts whose requests were refused recently.
#[derive(Debug, Default)]
pub(crate) struct ExceededAccounts {
    accounts: RefCell<BTreeMap<String, Excess>>,
    /// Accounts with a metric of their own.
    labelled: RefCell<BTreeSet<String>>,
}

#[derive(Clone, Copy, Debug)]
struct Excess {
    since: Millis,
    refused_at: Millis,
    refused: u64,
}

impl ExceededAccounts {
    /// Records a decision on a request of `account`; `retry_after` if it was refused.
    pub(crate) fn record(&self, shared: &Shared, account: &str, retry_after: Option<Millis>) {
        let outcome = if retry_after.is_some() {
            "refused"
        } else {
            "granted"
        };
        shared.meters.count_allowance(self.label(account), outcome);
        let Some(retry_after) = retry_after else {
            return;
        };
        let now = shared.timer.now();
        let mut accounts = self.accounts.borrow_mut();
        let is_new = !accounts.contains_key(account);
        let excess = accounts.entry(account.to_owned()).or_insert(Excess {
            since: now,
            refused_at: now,
            refused: 0,
        });
        excess.refused_at = now;
        excess.refused += 1;
        if is_new {
            let fields = [field("account", account), field("retry_ms", retry_after.0)];
            shared.log.emit(&events::ALLOWANCE_EXCEEDED, &fields);
        }
    }

    /// Name of the metric that counts `account`.
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

    /// Logs the accounts that are within their allowance again.
    pub(crate) fn expire(&self, shared: &Shared) {
        let now = shared.timer.now();
        self.accounts.borrow_mut().retain(|account, excess| {
            let exceeds = now.since(excess.refused_at) < KEPT_TIME;
            if !exceeds {
                let fields = [
                    field("account", account.as_str()),
                    field("exceeded_ms", excess.refused_at.since(excess.since).0),
                    field("refused", excess.refused),
                ];
                shared.log.emit(&events::ALLOWANCE_KEPT, &fields);
            }
            exceeds
        });
    }
}
