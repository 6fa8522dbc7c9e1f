//! Deltas: what turns one configuration into another, of the size of the change.
//!
//! A delta has one form only: removals and puts each in strictly ascending order of keys, and no
//! key in both. Removals run first, in falling order, so that versions go before their adapter;
//! then puts in rising order, so that an adapter comes before its versions.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::diff::{Difference, diff};
use crate::model::{Config, Item, ItemKey};

/// What turns one configuration into another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Keys of items taken out, ascending.
    pub removed: Vec<ItemKey>,
    /// Items put in, ascending by key.
    pub put: Vec<Item>,
}

/// Why a delta does not fit a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DeltaError {
    /// Keys not in the one order allowed.
    #[snafu(display("step delta: '{key}' is out of order or comes twice"))]
    Order {
        /// Key.
        key: ItemKey,
    },
    /// Nothing there to take out.
    #[snafu(display("step delta: '{key}' is not declared"))]
    Absent {
        /// Key.
        key: ItemKey,
    },
    /// Takes out what always stands.
    #[snafu(display("step delta: '{key}' can't be removed"))]
    Fixed {
        /// Key.
        key: ItemKey,
    },
    /// Takes an adapter out and leaves versions.
    #[snafu(display("step delta: '{key}' still has versions"))]
    Versions {
        /// Key.
        key: ItemKey,
    },
    /// Deals the keys of a pool that stands out anew.
    #[snafu(display(
        "step delta: '{key}' has its keys in {parts} parts and can't have them in {asked}: \
         keys in use would be forgotten; declare another pool"
    ))]
    Parts {
        /// Key.
        key: ItemKey,
        /// Parts as they stand.
        parts: u32,
        /// Parts asked for.
        asked: u32,
    },
    /// Puts a version in without its adapter.
    #[snafu(display("step delta: '{key}' has no adapter"))]
    Orphan {
        /// Key.
        key: ItemKey,
    },
}

/// One step of a delta.
pub(crate) enum Step<'a> {
    Remove(&'a ItemKey),
    Put(&'a Item),
}

impl Step<'_> {
    pub(crate) fn key(&self) -> ItemKey {
        match self {
            Self::Remove(key) => (*key).clone(),
            Self::Put(item) => item.key(),
        }
    }

    pub(crate) fn item(&self) -> Option<&Item> {
        match self {
            Self::Remove(_) => None,
            Self::Put(item) => Some(item),
        }
    }

    /// Whether the step can be taken on `config`.
    pub(crate) fn fits(&self, config: &Config) -> Result<(), DeltaError> {
        let key = self.key();
        match self {
            Self::Remove(ItemKey::Tuning | ItemKey::Limits) => FixedSnafu { key }.fail(),
            Self::Remove(removed) => {
                ensure!(config.contains(removed), AbsentSnafu { key });
                ensure!(!has_versions(config, removed), VersionsSnafu { key });
                Ok(())
            }
            Self::Put(Item::Version(adapter, ..)) => {
                ensure!(config.adapters.contains_key(adapter), OrphanSnafu { key });
                Ok(())
            }
            Self::Put(Item::Pool(id, pool)) => {
                let Some(old) = config.pools.get(id) else {
                    return Ok(());
                };
                let (parts, asked) = (old.parts(), pool.parts());
                ensure!(old.may_become(pool), PartsSnafu { key, parts, asked });
                Ok(())
            }
            Self::Put(_) => Ok(()),
        }
    }
}

fn has_versions(config: &Config, key: &ItemKey) -> bool {
    let ItemKey::Adapter(id) = key else {
        return false;
    };
    config
        .adapters
        .get(id)
        .is_some_and(|a| !a.versions.is_empty())
}

impl Delta {
    /// What turns `a` into `b`.
    #[must_use]
    pub fn between(a: &Config, b: &Config) -> Self {
        let mut delta = Self::default();
        for difference in diff(a, b) {
            match difference {
                Difference::Removed(item) => delta.removed.push(item.key()),
                Difference::Added(item) | Difference::Changed { new: item, .. } => {
                    delta.put.push(item);
                }
            }
        }
        delta
    }

    /// Whether it changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.put.is_empty()
    }

    /// Configuration that it makes of `config`; the result is not checked.
    ///
    /// # Errors
    /// [`DeltaError`] if it does not fit.
    pub fn apply(&self, config: &Config) -> Result<Config, DeltaError> {
        let mut result = config.clone();
        for step in self.steps()? {
            step.fits(&result)?;
            match step {
                Step::Remove(key) => result.remove(key),
                Step::Put(item) => result.put(item.clone()),
            }
        }
        Ok(result)
    }

    /// Steps in the order in which they are taken.
    pub(crate) fn steps(&self) -> Result<impl Iterator<Item = Step<'_>>, DeltaError> {
        ascending(self.removed.iter().cloned())?;
        ascending(self.put.iter().map(Item::key))?;
        let removed: BTreeSet<&ItemKey> = self.removed.iter().collect();
        for key in self.put.iter().map(Item::key) {
            ensure!(!removed.contains(&key), OrderSnafu { key });
        }
        let removals = self.removed.iter().rev().map(Step::Remove);
        Ok(removals.chain(self.put.iter().map(Step::Put)))
    }
}

fn ascending(keys: impl Iterator<Item = ItemKey>) -> Result<(), DeltaError> {
    let mut last = None;
    for key in keys {
        ensure!(last.is_none_or(|l| l < key), OrderSnafu { key });
        last = Some(key);
    }
    Ok(())
}
