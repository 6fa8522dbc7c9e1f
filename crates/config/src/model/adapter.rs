//! Base models, adapters and their versions.

use pumicecleat_types::{BaseId, VersionId};
use serde::{Deserialize, Serialize};

use super::Versions;

/// Base model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseModel {
    /// Maximum context length, tokens.
    pub context: u32,
}

/// Adapter on a base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Base model.
    pub base: BaseId,
    /// Version used for a `model` that names none.
    pub default: Option<VersionId>,
    /// Versions.
    pub versions: Versions,
}

/// Version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Path in the weight store.
    pub path: String,
}
