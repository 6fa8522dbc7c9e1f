//! The unit of residency: one version of one adapter on one base model.

use serde::{Deserialize, Serialize};

use crate::{AdapterId, BaseId, VersionId};

/// One version of one adapter on its base model.
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
    /// Lora of the given names.
    #[must_use]
    pub fn new(base: &str, adapter: &str, version: &str) -> Self {
        Self {
            base: base.into(),
            adapter: adapter.into(),
            version: version.into(),
        }
    }

    /// Name under which an engine holds it: `adapter@version`.
    #[must_use]
    pub fn engine_name(&self) -> String {
        format!("{}@{}", self.adapter, self.version)
    }
}
