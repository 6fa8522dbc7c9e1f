//! Versions of an adapter, in a sorted vector without spare capacity: nearly every adapter has one
//! version, for which a B-tree node would be mostly empty.

use std::borrow::Borrow;
use std::collections::BTreeMap;

use pumicecleat_types::VersionId;
use serde::{Deserialize, Serialize};

use super::Version;

/// Number of versions below which no spare capacity is allocated.
const EXACT_GROWTH_LIMIT: usize = 8;

/// Versions sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "BTreeMap<VersionId, Version>",
    into = "BTreeMap<VersionId, Version>"
)]
pub struct Versions(Vec<(VersionId, Version)>);

impl Versions {
    /// Returns the version with this name.
    #[must_use]
    pub fn get<Q: Borrow<str> + ?Sized>(&self, name: &Q) -> Option<&Version> {
        self.get_key_value(name).map(|(_, version)| version)
    }

    /// Returns the version with this name, mutably.
    pub fn get_mut<Q: Borrow<str> + ?Sized>(&mut self, name: &Q) -> Option<&mut Version> {
        let index = self.find(name.borrow()).ok()?;
        self.0.get_mut(index).map(|(_, version)| version)
    }

    /// Returns the version with this name, and the stored name.
    #[must_use]
    pub fn get_key_value<Q: Borrow<str> + ?Sized>(
        &self,
        name: &Q,
    ) -> Option<(&VersionId, &Version)> {
        let index = self.find(name.borrow()).ok()?;
        self.0.get(index).map(|(name, version)| (name, version))
    }

    /// Whether there is a version with this name.
    #[must_use]
    pub fn contains_key<Q: Borrow<str> + ?Sized>(&self, name: &Q) -> bool {
        self.find(name.borrow()).is_ok()
    }

    /// Names, in order.
    pub fn keys(&self) -> impl Iterator<Item = &VersionId> {
        self.0.iter().map(|(name, _)| name)
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Inserts a version; returns the one that it replaces.
    pub fn insert(&mut self, name: VersionId, version: Version) -> Option<Version> {
        match self.find(name.as_str()) {
            Ok(index) => {
                let (_, existing) = self.0.get_mut(index)?;
                Some(std::mem::replace(existing, version))
            }
            Err(index) => {
                if self.0.len() < EXACT_GROWTH_LIMIT {
                    self.0.reserve_exact(1);
                }
                self.0.insert(index, (name, version));
                None
            }
        }
    }

    /// Removes a version.
    pub fn remove<Q: Borrow<str> + ?Sized>(&mut self, name: &Q) -> Option<Version> {
        let index = self.find(name.borrow()).ok()?;
        let (_, version) = self.0.remove(index);
        self.0.shrink_to(EXACT_GROWTH_LIMIT.min(self.0.len()));
        Some(version)
    }

    /// Removes all versions.
    pub fn clear(&mut self) {
        self.0 = Vec::new();
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.0
            .binary_search_by(|(existing, _)| existing.as_str().cmp(name))
    }
}

impl From<BTreeMap<VersionId, Version>> for Versions {
    fn from(versions: BTreeMap<VersionId, Version>) -> Self {
        Self(versions.into_iter().collect())
    }
}

impl From<Versions> for BTreeMap<VersionId, Version> {
    fn from(versions: Versions) -> Self {
        versions.0.into_iter().collect()
    }
}

impl<const N: usize> From<[(VersionId, Version); N]> for Versions {
    fn from(versions: [(VersionId, Version); N]) -> Self {
        BTreeMap::from(versions).into()
    }
}
