//! Events from E6000: platform services that this system uses.

use super::super::event::{Event, events};
use crate::Level;

events! {
    /// The log service does not respond.
    LOG_DOWN = "E6001" "log_down" Error ["address", "step", "error"];
    /// The log service responds again.
    LOG_UP = "E6002" "log_up" Info ["address", "down_ms"];
    /// The reply to an append was lost; the stream is read back to learn its outcome.
    APPEND_UNSURE = "E6003" "append_unsure" Warn ["stream", "step", "error"];
    /// Records that are still needed were trimmed from the log.
    RECORDS_TRIMMED = "E6004" "records_trimmed" Warn ["stream", "wanted", "first"];
    /// The log service rejects appends because of their rate.
    APPENDS_LIMITED = "E6005" "appends_limited" Warn ["stream", "again_ms"];
    /// The VM list does not respond.
    VM_LIST_DOWN = "E6010" "vm_list_down" Warn ["address", "step", "error"];
    /// The VM list responds again.
    VM_LIST_UP = "E6011" "vm_list_up" Info ["address", "down_ms"];
    /// The VM list marks a VM as leaving.
    VM_LISTED_LEAVING = "E6012" "vm_listed_leaving" Info ["vm"];
    /// The weight store does not respond, or rejects requests because of their rate.
    STORE_DOWN = "E6020" "store_down" Warn ["address", "step", "error"];
    /// The weight store responds again.
    STORE_UP = "E6021" "store_up" Info ["address", "down_ms"];
}
