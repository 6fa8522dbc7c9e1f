//! References between items, and what a change could leave dangling.
//!
//! Few items refer to others across tables (callers, services, pools), so that their references
//! are kept in reverse, and a small change is checked without a look at the rest. Adapters are
//! many and refer to few base models: their references are not kept but searched on the rare
//! removal of a base model. Kept, they took half of the memory of a fold.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::CallerId;

use super::Report;
use crate::fault::Problem;
use crate::model::{Caller, Config, Item, ItemKey, Pool, PoolKind};

/// Who refers to what across tables, and who holds which key hash.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links {
    users: BTreeMap<ItemKey, BTreeSet<ItemKey>>,
    holders: BTreeMap<String, BTreeSet<CallerId>>,
}

impl Links {
    /// Notes what an item refers to.
    pub(crate) fn add(&mut self, item: &Item) {
        if is_searched(item) {
            return;
        }
        let user = item.key();
        for (_, target) in targets(item) {
            self.users.entry(target).or_default().insert(user.clone());
        }
        if let Item::Caller(id, caller) = item {
            for hash in &caller.keys {
                let holders = self.holders.entry(hash.clone()).or_default();
                holders.insert(id.clone());
            }
        }
    }

    /// Forgets what an item refers to.
    pub(crate) fn remove(&mut self, item: &Item) {
        if is_searched(item) {
            return;
        }
        let user = item.key();
        for (_, target) in targets(item) {
            forget(&mut self.users, &target, &user);
        }
        if let Item::Caller(id, caller) = item {
            for hash in &caller.keys {
                forget(&mut self.holders, hash, id);
            }
        }
    }

    /// Adds to `keys` the items that must be checked again once these have changed.
    pub(crate) fn widen(&self, config: &Config, keys: &mut BTreeSet<ItemKey>) {
        let mut more = BTreeSet::new();
        for key in keys.iter() {
            match key {
                ItemKey::Version(id, _) => {
                    let adapter = ItemKey::Adapter(id.clone());
                    if !keys.contains(&adapter) {
                        more.insert(adapter);
                    }
                }
                ItemKey::Caller(id) => more.extend(self.sharers(config, id)),
                _ => {}
            }
            let held = config.contains(key);
            if matches!(key, ItemKey::Pool(_)) || !held {
                more.extend(self.users.get(key).into_iter().flatten().cloned());
            }
            if let (ItemKey::Base(id), false) = (key, held) {
                let adapters = config.adapters.iter().filter(|(_, a)| a.base == *id);
                more.extend(adapters.map(|(id, _)| ItemKey::Adapter(id.clone())));
            }
        }
        keys.extend(more);
    }

    fn sharers(&self, config: &Config, id: &CallerId) -> BTreeSet<ItemKey> {
        let caller = config.callers.get(id);
        caller
            .into_iter()
            .flat_map(|c| &c.keys)
            .filter_map(|hash| self.holders.get(hash))
            .flatten()
            .cloned()
            .map(ItemKey::Caller)
            .collect()
    }

    /// Reports references of an item that don't hold.
    pub(super) fn check_item(&self, config: &Config, item: &Item, report: &mut Report) {
        for (field, target) in targets(item) {
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
                if pool.is_some_and(is_model) {
                    let pool = service.pool.to_string();
                    report.add("pool", Problem::PoolKind { pool });
                }
            }
            Item::Caller(id, caller) => self.check_keys(id, caller, report),
            _ => {}
        }
    }

    fn check_keys(&self, id: &CallerId, caller: &Caller, report: &mut Report) {
        for hash in &caller.keys {
            let holders = self.holders.get(hash);
            let other = holders.into_iter().flatten().find(|o| *o != id);
            if let Some(other) = other {
                let other = other.to_string();
                report.add("keys", Problem::SharedKey { other });
            }
        }
    }
}

/// Whether the item's references are not kept: those of an adapter to its base model are searched,
/// and an adapter is checked with each of its versions.
fn is_searched(item: &Item) -> bool {
    matches!(item, Item::Adapter { .. })
}

fn is_model(pool: &Pool) -> bool {
    matches!(pool.kind, PoolKind::Model { .. })
}

fn forget<K: Ord, V: Ord>(map: &mut BTreeMap<K, BTreeSet<V>>, key: &K, value: &V) {
    if let Some(set) = map.get_mut(key) {
        set.remove(value);
        if set.is_empty() {
            map.remove(key);
        }
    }
}

/// What an item refers to, with the field that does.
fn targets(item: &Item) -> Vec<(&'static str, ItemKey)> {
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
