//! Events from E4000: simulated platform services and upstreams, used only in tests and trials.

use super::super::event::{Event, events};
use crate::Level;

events! {
    /// A stand-in started to serve.
    STANDIN_STARTED = "E4001" "standin_started" Info ["kind", "address"];
    /// A fault was injected.
    FAULT_SET = "E4002" "fault_set" Info ["kind", "fault", "value"];
    /// An injected fault was cleared.
    FAULT_CLEARED = "E4003" "fault_cleared" Info ["kind", "fault"];
    /// A stand-in applied an injected fault.
    FAULT_ACTED = "E4004" "fault_acted" Debug ["kind", "fault", "request"];
    /// An order had an outdated fencing number.
    OLD_FENCE_SEEN = "E4005" "old_fence_seen" Warn ["order", "number", "newest", "refused"];
    /// A stand-in reached a limit of its own.
    STANDIN_LIMIT = "E4006" "standin_limit" Warn ["kind", "limit"];
}
