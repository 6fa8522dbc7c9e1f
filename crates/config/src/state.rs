//! A checked configuration with what makes small changes cheap: its sum of digests and the
//! references between its items.

use std::collections::BTreeSet;

use crate::check::{Links, check, check_items};
use crate::delta::{Delta, DeltaError};
use crate::digest::{Digest, Sum};
use crate::fault::Fault;
use crate::model::{Config, Item, ItemKey};

/// Why a delta can't be taken in.
#[derive(Debug)]
pub(crate) enum Denial {
    /// It does not fit.
    Delta(DeltaError),
    /// Its result has faults.
    Faults(Vec<Fault>),
    /// Its result has another digest.
    Digest,
}

/// Item as it was before a step. Boxed, as a first change has very many steps and no such items.
type Undo = (ItemKey, Option<Box<Item>>);

/// Configuration in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    config: Config,
    sum: Sum,
    links: Links,
}

impl State {
    /// State of nothing declared.
    pub(crate) fn empty() -> Self {
        Self::index(Config::default())
    }

    /// State of a configuration, or its faults.
    pub(crate) fn new(config: Config) -> Result<Self, Vec<Fault>> {
        let faults = check(&config);
        if faults.is_empty() {
            Ok(Self::index(config))
        } else {
            Err(faults)
        }
    }

    fn index(config: Config) -> Self {
        let mut sum = Sum::default();
        let mut links = Links::default();
        for item in config.items() {
            sum.add(&item);
            links.add(&item);
        }
        Self { config, sum, links }
    }

    pub(crate) fn config(&self) -> &Config {
        &self.config
    }

    pub(crate) fn digest(&self) -> Digest {
        self.sum.digest()
    }

    /// Digest after a delta, at the price of the delta.
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

    /// Takes a delta in if its result is free of faults and has the digest; else all stays.
    /// Gives the keys it touched.
    pub(crate) fn advance(
        &mut self,
        delta: &Delta,
        digest: Digest,
    ) -> Result<Vec<ItemKey>, Denial> {
        let mut undo = Vec::new();
        if let Err(denial) = self.try_advance(delta, digest, &mut undo) {
            for (key, old) in undo.into_iter().rev() {
                self.set(&key, old.map(|item| *item));
            }
            return Err(denial);
        }
        let mut touched: Vec<ItemKey> = undo.into_iter().map(|(key, _)| key).collect();
        touched.sort_unstable();
        Ok(touched)
    }

    fn try_advance(
        &mut self,
        delta: &Delta,
        digest: Digest,
        undo: &mut Vec<Undo>,
    ) -> Result<(), Denial> {
        for step in delta.steps().map_err(Denial::Delta)? {
            step.fits(&self.config).map_err(Denial::Delta)?;
            let key = step.key();
            let old = self.set(&key, step.item().cloned());
            undo.push((key, old.map(Box::new)));
        }
        if self.digest() != digest {
            return Err(Denial::Digest);
        }
        let mut wide: BTreeSet<ItemKey> = undo.iter().map(|(key, _)| key.clone()).collect();
        self.links.widen(&self.config, &mut wide);
        let items = wide.iter().filter_map(|key| self.config.item(key));
        let faults = check_items(&self.config, &self.links, items);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Denial::Faults(faults))
        }
    }

    fn set(&mut self, key: &ItemKey, item: Option<Item>) -> Option<Item> {
        let old = self.config.item(key);
        if let Some(old) = &old {
            self.sum.sub(old);
            self.links.remove(old);
        }
        match item {
            Some(item) => {
                self.sum.add(&item);
                self.links.add(&item);
                self.config.put(item);
            }
            None => self.config.remove(key),
        }
        old
    }
}
