//! Faults of the weight store.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Faults of the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every request is refused with 503.
    pub down: bool,
    /// Loads take this many times as long.
    pub slow_factor: f64,
    /// Loads to come that end in 500.
    pub fail: u64,
    /// Paths that don't exist.
    pub missing: BTreeSet<String>,
    /// Paths whose bytes don't match their digest.
    pub corrupt: BTreeSet<String>,
}

impl Default for StoreFaults {
    fn default() -> Self {
        Self {
            down: false,
            slow_factor: 1.0,
            fail: 0,
            missing: BTreeSet::new(),
            corrupt: BTreeSet::new(),
        }
    }
}
