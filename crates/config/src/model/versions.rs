//! Versions of an adapter, in one row of just their length: nearly every adapter has one, for which
//! a node of a tree would stand mostly empty.

use std::borrow::Borrow;
use std::collections::BTreeMap;

use pumicecleat_types::VersionId;
use serde::{Deserialize, Serialize};

use super::Version;

/// Versions from which on room is left for more.
const MANY: usize = 8;

/// Versions by name, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "BTreeMap<VersionId, Version>",
    into = "BTreeMap<VersionId, Version>"
)]
pub struct Versions(Vec<(VersionId, Version)>);

impl Versions {
    /// Version of a name.
    #[must_use]
    pub fn get<Q: Borrow<str> + ?Sized>(&self, name: &Q) -> Option<&Version> {
        self.get_key_value(name).map(|(_, version)| version)
    }

    /// Version of a name, to change.
    pub fn get_mut<Q: Borrow<str> + ?Sized>(&mut self, name: &Q) -> Option<&mut Version> {
        let at = self.find(name.borrow()).ok()?;
        self.0.get_mut(at).map(|(_, version)| version)
    }

    /// Version of a name, with the name as held here.
    #[must_use]
    pub fn get_key_value<Q: Borrow<str> + ?Sized>(
        &self,
        name: &Q,
    ) -> Option<(&VersionId, &Version)> {
        let at = self.find(name.borrow()).ok()?;
        self.0.get(at).map(|(name, version)| (name, version))
    }

    /// Whether there is one of that name.
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

    /// Puts a version in; gives the one that stood under its name.
    pub fn insert(&mut self, name: VersionId, version: Version) -> Option<Version> {
        match self.find(name.as_str()) {
            Ok(at) => {
                let (_, held) = self.0.get_mut(at)?;
                Some(std::mem::replace(held, version))
            }
            Err(at) => {
                if self.0.len() < MANY {
                    self.0.reserve_exact(1);
                }
                self.0.insert(at, (name, version));
                None
            }
        }
    }

    /// Takes a version out.
    pub fn remove<Q: Borrow<str> + ?Sized>(&mut self, name: &Q) -> Option<Version> {
        let at = self.find(name.borrow()).ok()?;
        let (_, version) = self.0.remove(at);
        self.0.shrink_to(MANY.min(self.0.len()));
        Some(version)
    }

    /// Takes all out.
    pub fn clear(&mut self) {
        self.0 = Vec::new();
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(held, _)| held.as_str().cmp(name))
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
