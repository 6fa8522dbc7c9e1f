//! Callers: their keys, permissions and share of capacity.

use std::collections::BTreeSet;

use pumicecleat_types::{AdapterId, ServiceId};
use serde::{Deserialize, Serialize};

/// Caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// SHA-256 of each bearer key, lower-case hex.
    pub keys: BTreeSet<String>,
    /// Weight in max-min sharing of capacity, from 1.
    pub claim: u32,
    /// Highest priority it may request.
    pub priority: u8,
    /// Permissions.
    pub grant: Grant,
}

/// Adapters and services that a caller may use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Every adapter.
    pub all: bool,
    /// Adapters by name.
    pub adapters: BTreeSet<AdapterId>,
    /// Prefixes of adapter names.
    pub prefixes: BTreeSet<String>,
    /// Plain services.
    pub services: BTreeSet<ServiceId>,
}

impl Caller {
    /// Whether it may use an adapter.
    #[must_use]
    pub fn may_use_adapter(&self, adapter: &AdapterId) -> bool {
        let grant = &self.grant;
        grant.all || grant.adapters.contains(adapter) || grant.matches_prefix(adapter.as_str())
    }

    /// Whether it may use a service.
    #[must_use]
    pub fn may_use_service(&self, service: &ServiceId) -> bool {
        self.grant.services.contains(service)
    }
}

impl Grant {
    fn matches_prefix(&self, name: &str) -> bool {
        self.prefixes.iter().any(|p| name.starts_with(p.as_str()))
    }
}
