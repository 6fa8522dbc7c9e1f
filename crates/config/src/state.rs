//! A validated configuration with its sum of hashes and the references between its items, so that
//! the cost of a change depends on the size of the change only.

use std::collections::BTreeSet;

use crate::check::{References, check, check_items};
use crate::delta::{Delta, DeltaError};
use crate::digest::{Digest, Sum};
use crate::fault::Fault;
use crate::model::{Config, Item, ItemKey};

/// Why a delta can't be applied.
#[derive(Debug)]
pub(crate) enum ApplyError {
    /// It does not fit the configuration.
    Delta(DeltaError),
    /// Its result is invalid.
    Faults(Vec<Fault>),
    /// The digest of its result differs from the stated one.
    Digest,
}

/// Item under a key before a step. Boxed to keep the entry small: the first change has very many
/// steps, and no previous items.
type UndoEntry = (ItemKey, Option<Box<Item>>);

/// Configuration in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    config: Config,
    sum: Sum,
    references: References,
}

impl State {
    /// State of the empty configuration.
    pub(crate) fn empty() -> Self {
        Self::from_checked(Config::default())
    }

    /// Validates a configuration and builds its state.
    pub(crate) fn new(config: Config) -> Result<Self, Vec<Fault>> {
        let faults = check(&config);
        if faults.is_empty() {
            Ok(Self::from_checked(config))
        } else {
            Err(faults)
        }
    }

    fn from_checked(config: Config) -> Self {
        let mut sum = Sum::default();
        let mut references = References::default();
        for item in config.items() {
            sum.add(&item);
            references.add(&item);
        }
        Self {
            config,
            sum,
            references,
        }
    }

    pub(crate) fn config(&self) -> &Config {
        &self.config
    }

    pub(crate) fn digest(&self) -> Digest {
        self.sum.digest()
    }

    /// Digest that a delta would lead to, computed from the items of the delta only.
    pub(crate) fn digest_after(&self, delta: &Delta) -> Result<Digest, DeltaError> {
        let mut sum = self.sum;
        for step in delta.steps()? {
            if let Some(old) = self.config.item(&step.key()) {
                sum.sub(&old);
            }
            if let Some(new) = step.item() {
                sum.add(new);
            }
        }
        Ok(sum.digest())
    }

    /// Applies a delta if its result is valid and has the digest; otherwise changes nothing.
    /// Returns the keys it touched, in order.
    pub(crate) fn apply(
        &mut self,
        delta: &Delta,
        digest: Digest,
    ) -> Result<Vec<ItemKey>, ApplyError> {
        let mut undo = Vec::new();
        if let Err(error) = self.try_apply(delta, digest, &mut undo) {
            for (key, old) in undo.into_iter().rev() {
                self.replace(&key, old.map(|item| *item));
            }
            return Err(error);
        }
        let mut touched: Vec<ItemKey> = undo.into_iter().map(|(key, _)| key).collect();
        touched.sort_unstable();
        Ok(touched)
    }

    fn try_apply(
        &mut self,
        delta: &Delta,
        digest: Digest,
        undo: &mut Vec<UndoEntry>,
    ) -> Result<(), ApplyError> {
        for step in delta.steps().map_err(ApplyError::Delta)? {
            step.check(&self.config).map_err(ApplyError::Delta)?;
            let key = step.key();
            let old = self.replace(&key, step.item().cloned());
            undo.push((key, old.map(Box::new)));
        }
        if self.digest() != digest {
            return Err(ApplyError::Digest);
        }
        let mut affected: BTreeSet<ItemKey> = undo.iter().map(|(key, _)| key.clone()).collect();
        self.references.add_dependents(&self.config, &mut affected);
        let items = affected.iter().filter_map(|key| self.config.item(key));
        let faults = check_items(&self.config, &self.references, items);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(ApplyError::Faults(faults))
        }
    }

    fn replace(&mut self, key: &ItemKey, item: Option<Item>) -> Option<Item> {
        let old = self.config.item(key);
        if let Some(old) = &old {
            self.sum.sub(old);
            self.references.remove(old);
        }
        match item {
            Some(item) => {
                self.sum.add(&item);
                self.references.add(&item);
                self.config.put(item);
            }
            None => self.config.remove(key),
        }
        old
    }
}
