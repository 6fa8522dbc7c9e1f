//! E6000 on: the platform's services as seen from this system.

use super::super::event::{Event, rows};
use crate::Level;

rows! {
    /// Log service does not answer.
    LOG_DOWN = "E6001" "log_down" Error ["address", "step", "error"];
    /// Log service answers again.
    LOG_UP = "E6002" "log_up" Info ["address", "down_ms"];
    /// Reply to an append was lost; it is settled by reading back.
    APPEND_UNSURE = "E6003" "append_unsure" Warn ["stream", "step", "error"];
    /// Records that were needed are trimmed.
    RECORDS_TRIMMED = "E6004" "records_trimmed" Warn ["stream", "wanted", "first"];
    /// Log service refuses appends for their rate.
    APPENDS_LIMITED = "E6005" "appends_limited" Warn ["stream", "again_ms"];
    /// VM list does not answer.
    VM_LIST_DOWN = "E6010" "vm_list_down" Warn ["address", "step", "error"];
    /// VM list answers again.
    VM_LIST_UP = "E6011" "vm_list_up" Info ["address", "down_ms"];
    /// VM list names a VM as leaving.
    VM_LISTED_LEAVING = "E6012" "vm_listed_leaving" Info ["vm"];
    /// Weight store does not answer, or refuses for its rate.
    STORE_DOWN = "E6020" "store_down" Warn ["address", "step", "error"];
    /// Weight store answers again.
    STORE_UP = "E6021" "store_up" Info ["address", "down_ms"];
}
