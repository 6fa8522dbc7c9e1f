//! Deltas: the items to remove and put to turn one configuration into another.
//!
//! The form of a delta is canonical: removals and puts are each in strictly ascending order of
//! keys, and no key is in both. Removals are applied first, in descending order, so that versions
//! are removed before their adapter; then puts in ascending order, so that an adapter is put before
//! its versions.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::diff::{Difference, diff};
use crate::model::{Config, Item, ItemKey};

/// Changes that turn one configuration into another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Keys of the removed items, ascending.
    pub removed: Vec<ItemKey>,
    /// Added or replaced items, ascending by key.
    pub put: Vec<Item>,
}

/// Why a delta does not fit a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DeltaError {
    /// Keys are not strictly ascending, or one is both removed and put.
    #[snafu(display("step delta: '{key}' is out of order or comes twice"))]
    Order {
        /// Key.
        key: ItemKey,
    },
    /// The item to remove does not exist.
    #[snafu(display("step delta: '{key}' is not declared"))]
    Absent {
        /// Key.
        key: ItemKey,
    },
    /// The item to remove always exists.
    #[snafu(display("step delta: '{key}' can't be removed"))]
    Fixed {
        /// Key.
        key: ItemKey,
    },
    /// The adapter to remove still has versions.
    #[snafu(display("step delta: '{key}' still has versions"))]
    Versions {
        /// Key.
        key: ItemKey,
    },
    /// Changes the number of key parts of an existing pool.
    #[snafu(display(
        "step delta: '{key}' has its keys in {parts} parts and can't have them in {requested}: \
         keys in use would be forgotten; declare another pool"
    ))]
    Parts {
        /// Key.
        key: ItemKey,
        /// Current number of parts.
        parts: u32,
        /// Requested number of parts.
        requested: u32,
    },
    /// The adapter of the version to put does not exist.
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

    /// Checks whether the step can be applied to `config`.
    pub(crate) fn check(&self, config: &Config) -> Result<(), DeltaError> {
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
                let (parts, requested) = (old.parts(), pool.parts());
                ensure!(
                    old.can_become(pool),
                    PartsSnafu {
                        key,
                        parts,
                        requested
                    }
                );
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
    /// Computes the delta that turns `a` into `b`.
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

    /// Applies the delta to a copy of `config`; the result is not validated.
    ///
    /// # Errors
    /// [`DeltaError`] if it does not fit.
    pub fn apply(&self, config: &Config) -> Result<Config, DeltaError> {
        let mut result = config.clone();
        for step in self.steps()? {
            step.check(&result)?;
            match step {
                Step::Remove(key) => result.remove(key),
                Step::Put(item) => result.put(item.clone()),
            }
        }
        Ok(result)
    }

    /// Steps in the order of their application.
    pub(crate) fn steps(&self) -> Result<impl Iterator<Item = Step<'_>>, DeltaError> {
        check_ascending(self.removed.iter().cloned())?;
        check_ascending(self.put.iter().map(Item::key))?;
        let removed: BTreeSet<&ItemKey> = self.removed.iter().collect();
        for key in self.put.iter().map(Item::key) {
            ensure!(!removed.contains(&key), OrderSnafu { key });
        }
        let removals = self.removed.iter().rev().map(Step::Remove);
        Ok(removals.chain(self.put.iter().map(Step::Put)))
    }
}

fn check_ascending(keys: impl Iterator<Item = ItemKey>) -> Result<(), DeltaError> {
    let mut last = None;
    for key in keys {
        ensure!(last.is_none_or(|l| l < key), OrderSnafu { key });
        last = Some(key);
    }
    Ok(())
}
