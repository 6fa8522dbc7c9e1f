//! Faults of the plain service.

use serde::{Deserialize, Serialize};

/// Faults of the plain service; all zero: none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Every request is refused with 503, without effect.
    pub down: bool,
    /// Requests to come that take effect, but whose connection closes without an answer.
    pub lose_answers: u64,
    /// Delay of every answer after its effect, milliseconds.
    pub delay_ms: u64,
    /// Requests to come that end in 500 without effect.
    pub fail: u64,
    /// Requests to come that end in 500 after their effect.
    pub fail_after: u64,
    /// Requests to come that take effect and whose answer is cut before its length.
    pub truncate: u64,
    /// Requests are taken and wait, without effect, until this is lifted.
    pub freeze: bool,
}
