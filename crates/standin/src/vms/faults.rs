//! Faults of the VM list.

use serde::{Deserialize, Serialize};

/// Faults of the VM list; all zero: none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmFaults {
    /// Every request is refused with 503.
    pub down: bool,
    /// Delay of every answer, milliseconds.
    pub delay_ms: u64,
}
