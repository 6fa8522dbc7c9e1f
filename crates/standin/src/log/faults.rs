//! Faults of the log service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Faults of the log service; all zero: none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Every request is refused with 503.
    pub down: bool,
    /// Appends to come that stand, but whose connection closes without an answer.
    pub lose_replies: u64,
    /// Appends to come that are refused with 503 and not stored.
    pub reject: u64,
    /// Delay of every answer, milliseconds.
    pub delay_ms: u64,
    /// Offset by stream, before which records are trimmed.
    pub trim_before: BTreeMap<String, u64>,
    /// Every request is taken and never answered.
    pub stall: bool,
}
