//! One version of an adapter on a base model, which is what an engine loads and unloads.

use serde::{Deserialize, Serialize};

use crate::{AdapterId, BaseId, VersionId};

/// One version of an adapter on its base model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lora {
    /// Base model.
    pub base: BaseId,
    /// Adapter.
    pub adapter: AdapterId,
    /// Version.
    pub version: VersionId,
}

impl Lora {
    /// Creates the value from the three names.
    #[must_use]
    pub fn new(base: &str, adapter: &str, version: &str) -> Self {
        Self {
            base: base.into(),
            adapter: adapter.into(),
            version: version.into(),
        }
    }

    /// Name under which an engine loads it: `adapter@version`.
    #[must_use]
    pub fn engine_name(&self) -> String {
        format!("{}@{}", self.adapter, self.version)
    }
}
