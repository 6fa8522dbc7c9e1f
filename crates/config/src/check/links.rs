//! References between items, and the check for dangling ones.
//!
//! Few items refer to others across tables (callers, services, pools). Their references are stored
//! in a reverse index, so that a small change is checked without scanning the whole configuration.
//! Adapters are many and refer to few base models: their references are not indexed, but found by a
//! scan when a base model is removed, which is rare. Indexing them took half of a fold's memory.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::CallerId;

use super::Report;
use crate::fault::Problem;
use crate::model::{Caller, Config, Item, ItemKey, Pool, PoolKind};

/// Reverse index of references across tables, and of callers by key hash.
#[derive(Clone, Debug, Default)]
pub(crate) struct References {
    referrers: BTreeMap<ItemKey, BTreeSet<ItemKey>>,
    callers_by_key: BTreeMap<String, BTreeSet<CallerId>>,
}

impl References {
    /// Adds an item's references.
    pub(crate) fn add(&mut self, item: &Item) {
        if is_untracked(item) {
            return;
        }
        let referrer = item.key();
        for (_, target) in references(item) {
            self.referrers
                .entry(target)
                .or_default()
                .insert(referrer.clone());
        }
        if let Item::Caller(id, caller) = item {
            for hash in &caller.keys {
                let holders = self.callers_by_key.entry(hash.clone()).or_default();
                holders.insert(id.clone());
            }
        }
    }

    /// Removes an item's references.
    pub(crate) fn remove(&mut self, item: &Item) {
        if is_untracked(item) {
            return;
        }
        let referrer = item.key();
        for (_, target) in references(item) {
            remove_from_set(&mut self.referrers, &target, &referrer);
        }
        if let Item::Caller(id, caller) = item {
            for hash in &caller.keys {
                remove_from_set(&mut self.callers_by_key, hash, id);
            }
        }
    }

    /// Adds to `keys`, which have changed, the items that must be checked again because of them.
    pub(crate) fn add_dependents(&self, config: &Config, keys: &mut BTreeSet<ItemKey>) {
        let mut dependents = BTreeSet::new();
        for key in keys.iter() {
            match key {
                ItemKey::Version(id, _) => {
                    let adapter = ItemKey::Adapter(id.clone());
                    if !keys.contains(&adapter) {
                        dependents.insert(adapter);
                    }
                }
                ItemKey::Caller(id) => dependents.extend(self.callers_sharing_keys(config, id)),
                _ => {}
            }
            let exists = config.contains(key);
            if matches!(key, ItemKey::Pool(_)) || !exists {
                dependents.extend(self.referrers.get(key).into_iter().flatten().cloned());
            }
            if let (ItemKey::Base(id), false) = (key, exists) {
                let adapters = config.adapters.iter().filter(|(_, a)| a.base == *id);
                dependents.extend(adapters.map(|(id, _)| ItemKey::Adapter(id.clone())));
            }
        }
        keys.extend(dependents);
    }

    fn callers_sharing_keys(&self, config: &Config, id: &CallerId) -> BTreeSet<ItemKey> {
        let caller = config.callers.get(id);
        caller
            .into_iter()
            .flat_map(|c| &c.keys)
            .filter_map(|hash| self.callers_by_key.get(hash))
            .flatten()
            .cloned()
            .map(ItemKey::Caller)
            .collect()
    }

    /// Reports invalid references of an item.
    pub(super) fn check_item(&self, config: &Config, item: &Item, report: &mut Report) {
        for (field, target) in references(item) {
            if !config.contains(&target) {
                let target = target.to_string();
                report.add(field, Problem::NotDeclared { target });
            }
        }
        match item {
            Item::Adapter { id, .. } => {
                let adapter = config.adapters.get(id);
                if adapter.is_some_and(|a| a.versions.is_empty()) {
                    report.add("version", Problem::Empty);
                }
            }
            Item::Service(_, service) => {
                let pool = config.pools.get(&service.pool);
                if pool.is_some_and(is_model_pool) {
                    let pool = service.pool.to_string();
                    report.add("pool", Problem::PoolKind { pool });
                }
            }
            Item::Caller(id, caller) => self.check_shared_keys(id, caller, report),
            _ => {}
        }
    }

    fn check_shared_keys(&self, id: &CallerId, caller: &Caller, report: &mut Report) {
        for hash in &caller.keys {
            let holders = self.callers_by_key.get(hash);
            let other = holders.into_iter().flatten().find(|o| *o != id);
            if let Some(other) = other {
                let other = other.to_string();
                report.add("keys", Problem::SharedKey { other });
            }
        }
    }
}

/// Whether the item's references are not indexed: those of an adapter to its base model are found
/// by a scan, and an adapter is checked with each of its versions.
fn is_untracked(item: &Item) -> bool {
    matches!(item, Item::Adapter { .. })
}

fn is_model_pool(pool: &Pool) -> bool {
    matches!(pool.kind, PoolKind::Model { .. })
}

fn remove_from_set<K: Ord, V: Ord>(map: &mut BTreeMap<K, BTreeSet<V>>, key: &K, value: &V) {
    if let Some(set) = map.get_mut(key) {
        set.remove(value);
        if set.is_empty() {
            map.remove(key);
        }
    }
}

/// Referenced items, with the field that refers to each.
fn references(item: &Item) -> Vec<(&'static str, ItemKey)> {
    match item {
        Item::Adapter { id, base, default } => {
            let mut targets = vec![("base", ItemKey::Base(base.clone()))];
            let version = default.iter().cloned();
            targets.extend(version.map(|v| ("default", ItemKey::Version(id.clone(), v))));
            targets
        }
        Item::Caller(_, caller) => {
            let grant = &caller.grant;
            let adapters = grant.adapters.iter().cloned().map(ItemKey::Adapter);
            let services = grant.services.iter().cloned().map(ItemKey::Service);
            adapters
                .map(|key| ("adapters", key))
                .chain(services.map(|key| ("services", key)))
                .collect()
        }
        Item::Pool(_, pool) => match &pool.kind {
            PoolKind::Model { base, .. } => vec![("base", ItemKey::Base(base.clone()))],
            PoolKind::Service { .. } => Vec::new(),
        },
        Item::Service(_, service) => vec![("pool", ItemKey::Pool(service.pool.clone()))],
        Item::Base(..) | Item::Version(..) | Item::Tuning(_) | Item::Limits(_) => Vec::new(),
    }
}
