//! Callers: their keys, what they may reach and how much they may claim.

use std::collections::BTreeSet;

use pumicecleat_types::{AdapterId, ServiceId};
use serde::{Deserialize, Serialize};

/// Caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// SHA-256 of each bearer key, lower-case hex.
    pub keys: BTreeSet<String>,
    /// Claim on capacity, a weight in max-min sharing, from 1.
    pub claim: u32,
    /// Highest priority it may ask for.
    pub priority: u8,
    /// What it may reach.
    pub grant: Grant,
}

/// What a caller may reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Every adapter.
    pub all: bool,
    /// Adapters by name.
    pub adapters: BTreeSet<AdapterId>,
    /// Adapters by the start of their name.
    pub prefixes: BTreeSet<String>,
    /// Plain services.
    pub services: BTreeSet<ServiceId>,
}

impl Caller {
    /// Whether it may reach an adapter.
    #[must_use]
    pub fn may_use_adapter(&self, adapter: &AdapterId) -> bool {
        let grant = &self.grant;
        grant.all || grant.adapters.contains(adapter) || grant.starts(adapter.as_str())
    }

    /// Whether it may reach a service.
    #[must_use]
    pub fn may_use_service(&self, service: &ServiceId) -> bool {
        self.grant.services.contains(service)
    }
}

impl Grant {
    fn starts(&self, name: &str) -> bool {
        self.prefixes.iter().any(|p| name.starts_with(p.as_str()))
    }
}
