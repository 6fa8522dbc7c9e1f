//! Client accounts: which keys they hold, how urgent their requests are, and how much they may use.
//!
//! Keys are stored and compared as digests only, so that no log, dump or error can contain one and the time of
//! a lookup does not depend on how much of a guessed key is right.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

use sha2::{Digest, Sha256};
use snafu::{Snafu, ensure};

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Name, sent to upstreams.
    pub name: String,
    /// Priority of its requests, before that of their route; 0 is the highest. `None` to use the route's.
    pub priority: Option<u8>,
    /// Limit of its use across all gateways; `None` for no limit.
    pub allowance: Option<Allowance>,
}

/// Limit of an account's use across all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once after a time without use.
    pub burst: f64,
    /// What is counted.
    pub unit: AllowanceUnit,
}

/// Unit of an allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AllowanceUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as its prompt tokens and maximum output tokens.
    Tokens {
        /// Tokens of a request that does not declare them.
        undeclared: u64,
    },
}

impl Allowance {
    /// Returns what a request uses that declares `tokens`, or declares none.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            AllowanceUnit::Requests => 1,
            AllowanceUnit::Tokens { undeclared } => tokens.unwrap_or(undeclared),
        }
    }
}

/// The accounts of a configuration are inconsistent.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AccountError {
    /// The name is empty, or has characters that a header value can't contain.
    #[snafu(display("account name {name:?} is not a header value"))]
    Name {
        /// Name.
        name: String,
    },
    /// Two accounts have the same name.
    #[snafu(display("account {name} is declared twice"))]
    Duplicate {
        /// Name.
        name: String,
    },
    /// Two accounts hold the same key.
    #[snafu(display("accounts {first} and {second} hold the same key"))]
    SharedKey {
        /// First account.
        first: String,
        /// Second account.
        second: String,
    },
    /// A limit is negative or not a number.
    #[snafu(display("account {name}: rate {rate} and burst {burst} must not be negative"))]
    Range {
        /// Account.
        name: String,
        /// Units per second.
        rate: f64,
        /// Units at once.
        burst: f64,
    },
}

/// Client accounts of a configuration, by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_key: BTreeMap<KeyDigest, Rc<Account>>,
}

impl Accounts {
    /// Creates the set of `accounts` with the keys that each holds. An account without keys is allowed, and
    /// nobody can call as that account.
    ///
    /// # Errors
    /// [`AccountError`] if a name is unusable or used twice, a key is held by two accounts, or a limit is
    /// out of range.
    pub fn new(
        accounts: impl IntoIterator<Item = (Account, Vec<KeyDigest>)>,
    ) -> Result<Self, AccountError> {
        let mut names = BTreeSet::new();
        let mut by_key: BTreeMap<KeyDigest, Rc<Account>> = BTreeMap::new();
        for (account, keys) in accounts {
            let name = &account.name;
            ensure!(is_header_value(name), NameSnafu { name });
            ensure!(names.insert(name.clone()), DuplicateSnafu { name });
            if let Some(Allowance { rate, burst, .. }) = account.allowance {
                let in_range = rate >= 0.0 && burst >= 0.0;
                ensure!(in_range, RangeSnafu { name, rate, burst });
            }
            let account = Rc::new(account);
            for key in keys {
                let holder = by_key.insert(key, Rc::clone(&account));
                if let Some(holder) = holder.filter(|h| h.name != account.name) {
                    let (first, second) = (&holder.name, &account.name);
                    return SharedKeySnafu { first, second }.fail();
                }
            }
        }
        Ok(Self { by_key })
    }

    /// Returns the account that holds a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Rc<Account>> {
        self.by_key.get(key)
    }
}

fn is_header_value(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}
