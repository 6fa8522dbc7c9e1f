//! E4000 on: stand-ins for the platform and upstreams, in tests and trials only.

use super::super::event::{Event, rows};
use crate::Level;

rows! {
    /// Stand-in serves.
    STANDIN_STARTED = "E4001" "standin_started" Info ["kind", "address"];
    /// Fault was asked for.
    FAULT_SET = "E4002" "fault_set" Info ["kind", "fault", "value"];
    /// Fault was taken back.
    FAULT_CLEARED = "E4003" "fault_cleared" Info ["kind", "fault"];
    /// Stand-in acted on a fault.
    FAULT_ACTED = "E4004" "fault_acted" Debug ["kind", "fault", "request"];
    /// Order carried an old fencing number.
    OLD_FENCE_SEEN = "E4005" "old_fence_seen" Warn ["order", "number", "newest", "refused"];
    /// Stand-in has reached a limit of its own.
    STANDIN_LIMIT = "E4006" "standin_limit" Warn ["kind", "limit"];
}
