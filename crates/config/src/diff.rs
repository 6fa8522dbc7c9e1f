//! Differences between two configurations, item by item.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use crate::model::{Config, Item, ItemKey};

/// Difference in one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Difference {
    /// Item only in the new configuration.
    Added(Item),
    /// Item only in the old configuration.
    Removed(Item),
    /// Item whose fields differ.
    Changed {
        /// Old item.
        old: Item,
        /// New item.
        new: Item,
    },
}

impl Difference {
    /// Key of the item.
    #[must_use]
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Added(item) | Self::Removed(item) | Self::Changed { new: item, .. } => item.key(),
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(item) => write!(f, "+ {} {}", item.key(), body(item)),
            Self::Removed(item) => write!(f, "- {}", item.key()),
            Self::Changed { old, new } => {
                write!(f, "~ {} {} -> {}", new.key(), body(old), body(new))
            }
        }
    }
}

fn body(item: &Item) -> String {
    match item {
        Item::Base(_, base) => json(base),
        Item::Adapter { base, default, .. } => {
            let default = default.as_ref().map_or("none", |v| v.as_str());
            format!("{{\"base\":\"{base}\",\"default\":\"{default}\"}}")
        }
        Item::Version(_, _, version) => json(version),
        Item::Caller(_, caller) => json(caller),
        Item::Pool(_, pool) => json(pool),
        Item::Service(_, service) => json(service),
        Item::Tuning(tuning) => json(tuning),
        Item::Limits(limits) => json(limits),
    }
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Computes the differences from `a` to `b`, in order of keys.
#[must_use]
pub fn diff(a: &Config, b: &Config) -> Vec<Difference> {
    let keys: BTreeSet<ItemKey> = a.keys().chain(b.keys()).collect();
    keys.iter().filter_map(|key| compare(a, b, key)).collect()
}

fn compare(a: &Config, b: &Config, key: &ItemKey) -> Option<Difference> {
    match (a.item(key), b.item(key)) {
        (None, Some(item)) => Some(Difference::Added(item)),
        (Some(item), None) => Some(Difference::Removed(item)),
        (Some(old), Some(new)) if old != new => Some(Difference::Changed { old, new }),
        _ => None,
    }
}
