//! A configuration as a set of items with unique keys, on which digests, deltas and differences
//! operate.

use std::fmt;

use pumicecleat_types::{AdapterId, BaseId, CallerId, PoolId, ServiceId, VersionId};
use serde::{Deserialize, Serialize};

use super::{Adapter, BaseModel, Caller, Config, Limits, Pool, Service, Tuning, Version};

/// Key of an item, displayed as the path of its table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ItemKey {
    /// Base model.
    Base(BaseId),
    /// Adapter, without its versions.
    Adapter(AdapterId),
    /// Version of an adapter.
    Version(AdapterId, VersionId),
    /// Caller.
    Caller(CallerId),
    /// Pool.
    Pool(PoolId),
    /// Service.
    Service(ServiceId),
    /// Tuning.
    Tuning,
    /// Limits.
    Limits,
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Base(id) => write!(f, "base.{id}"),
            Self::Adapter(id) => write!(f, "adapter.{id}"),
            Self::Version(id, version) => write!(f, "adapter.{id}.version.{version}"),
            Self::Caller(id) => write!(f, "caller.{id}"),
            Self::Pool(id) => write!(f, "pool.{id}"),
            Self::Service(id) => write!(f, "service.{id}"),
            Self::Tuning => f.write_str("tuning"),
            Self::Limits => f.write_str("limits"),
        }
    }
}

/// An item with its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// Base model.
    Base(BaseId, BaseModel),
    /// Adapter, without its versions.
    Adapter {
        /// Adapter.
        id: AdapterId,
        /// Base model.
        base: BaseId,
        /// Default version.
        default: Option<VersionId>,
    },
    /// Version of an adapter.
    Version(AdapterId, VersionId, Version),
    /// Caller. Boxed, as it is twice the size of any other item, and lists of items are long.
    Caller(CallerId, Box<Caller>),
    /// Pool.
    Pool(PoolId, Pool),
    /// Service.
    Service(ServiceId, Service),
    /// Tuning.
    Tuning(Tuning),
    /// Limits.
    Limits(Limits),
}

impl Item {
    /// Key of the item.
    #[must_use]
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Base(id, _) => ItemKey::Base(id.clone()),
            Self::Adapter { id, .. } => ItemKey::Adapter(id.clone()),
            Self::Version(id, version, _) => ItemKey::Version(id.clone(), version.clone()),
            Self::Caller(id, _) => ItemKey::Caller(id.clone()),
            Self::Pool(id, _) => ItemKey::Pool(id.clone()),
            Self::Service(id, _) => ItemKey::Service(id.clone()),
            Self::Tuning(_) => ItemKey::Tuning,
            Self::Limits(_) => ItemKey::Limits,
        }
    }

    fn of_adapter(id: &AdapterId, adapter: &Adapter) -> Self {
        Self::Adapter {
            id: id.clone(),
            base: adapter.base.clone(),
            default: adapter.default.clone(),
        }
    }
}

impl Config {
    /// Returns the item with this key.
    #[must_use]
    pub fn item(&self, key: &ItemKey) -> Option<Item> {
        match key {
            ItemKey::Base(id) => Some(Item::Base(id.clone(), self.bases.get(id)?.clone())),
            ItemKey::Adapter(id) => Some(Item::of_adapter(id, self.adapters.get(id)?)),
            ItemKey::Version(id, version) => {
                let found = self.adapters.get(id)?.versions.get(version)?;
                Some(Item::Version(id.clone(), version.clone(), found.clone()))
            }
            ItemKey::Caller(id) => {
                let caller = Box::new(self.callers.get(id)?.clone());
                Some(Item::Caller(id.clone(), caller))
            }
            ItemKey::Pool(id) => Some(Item::Pool(id.clone(), self.pools.get(id)?.clone())),
            ItemKey::Service(id) => Some(Item::Service(id.clone(), self.services.get(id)?.clone())),
            ItemKey::Tuning => Some(Item::Tuning(self.tuning)),
            ItemKey::Limits => Some(Item::Limits(self.limits)),
        }
    }

    /// Whether there is an item with this key.
    #[must_use]
    pub fn contains(&self, key: &ItemKey) -> bool {
        match key {
            ItemKey::Base(id) => self.bases.contains_key(id),
            ItemKey::Adapter(id) => self.adapters.contains_key(id),
            ItemKey::Version(id, version) => self
                .adapters
                .get(id)
                .is_some_and(|a| a.versions.contains_key(version)),
            ItemKey::Caller(id) => self.callers.contains_key(id),
            ItemKey::Pool(id) => self.pools.contains_key(id),
            ItemKey::Service(id) => self.services.contains_key(id),
            ItemKey::Tuning | ItemKey::Limits => true,
        }
    }

    /// Keys of all items, in order.
    pub fn keys(&self) -> impl Iterator<Item = ItemKey> + '_ {
        let bases = self.bases.keys().cloned().map(ItemKey::Base);
        let adapters = self.adapters.keys().cloned().map(ItemKey::Adapter);
        let versions = self.adapters.iter().flat_map(version_keys);
        let callers = self.callers.keys().cloned().map(ItemKey::Caller);
        let pools = self.pools.keys().cloned().map(ItemKey::Pool);
        let services = self.services.keys().cloned().map(ItemKey::Service);
        bases
            .chain(adapters)
            .chain(versions)
            .chain(callers)
            .chain(pools)
            .chain(services)
            .chain([ItemKey::Tuning, ItemKey::Limits])
    }

    /// All items, in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = Item> + '_ {
        self.keys().filter_map(|key| self.item(&key))
    }

    /// Adds an item or replaces the one with its key. A version whose adapter does not exist is
    /// dropped.
    pub(crate) fn put(&mut self, item: Item) {
        match item {
            Item::Base(id, base) => drop(self.bases.insert(id, base)),
            Item::Adapter { id, base, default } => self.put_adapter(id, base, default),
            Item::Version(id, name, version) => {
                if let Some(adapter) = self.adapters.get_mut(&id) {
                    let default = adapter.default.clone();
                    let name = default.filter(|d| *d == name).unwrap_or(name);
                    adapter.versions.insert(name, version);
                }
            }
            Item::Caller(id, caller) => drop(self.callers.insert(id, *caller)),
            Item::Pool(id, pool) => drop(self.pools.insert(id, pool)),
            Item::Service(id, service) => drop(self.services.insert(id, service)),
            Item::Tuning(tuning) => self.tuning = tuning,
            Item::Limits(limits) => self.limits = limits,
        }
    }

    fn put_adapter(&mut self, id: AdapterId, base: BaseId, default: Option<VersionId>) {
        let old = self.adapters.remove(&id);
        let versions = old.map(|a| a.versions).unwrap_or_default();
        // Shares the id that is the key of the base model, to save an allocation per adapter.
        let base = match self.bases.get_key_value(&base) {
            Some((held, _)) => held.clone(),
            None => base,
        };
        let adapter = Adapter {
            base,
            default,
            versions,
        };
        self.adapters.insert(id, adapter);
    }

    /// Removes the item with this key, except tuning and limits, which always exist.
    pub(crate) fn remove(&mut self, key: &ItemKey) {
        match key {
            ItemKey::Base(id) => drop(self.bases.remove(id)),
            ItemKey::Adapter(id) => drop(self.adapters.remove(id)),
            ItemKey::Version(id, version) => {
                if let Some(adapter) = self.adapters.get_mut(id) {
                    adapter.versions.remove(version);
                }
            }
            ItemKey::Caller(id) => drop(self.callers.remove(id)),
            ItemKey::Pool(id) => drop(self.pools.remove(id)),
            ItemKey::Service(id) => drop(self.services.remove(id)),
            ItemKey::Tuning | ItemKey::Limits => {}
        }
    }
}

fn version_keys<'a>(
    (id, adapter): (&'a AdapterId, &'a Adapter),
) -> impl Iterator<Item = ItemKey> + 'a {
    let versions = adapter.versions.keys().cloned();
    versions.map(|version| ItemKey::Version(id.clone(), version))
}
