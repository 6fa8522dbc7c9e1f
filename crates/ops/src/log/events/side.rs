//! Events from E3000: sides.

use super::super::event::{Event, events};
use crate::Level;

events! {
    /// The upstream responds.
    UPSTREAM_UP = "E3001" "upstream_up" Info ["upstream", "resident", "running"];
    /// The upstream does not respond.
    UPSTREAM_DOWN = "E3002" "upstream_down" Error ["upstream", "step", "error"];
    /// The upstream restarted and lost its resident adapters.
    UPSTREAM_RESTARTED = "E3003" "upstream_restarted" Warn ["upstream"];
    /// Another process on this VM holds the slot.
    SLOT_HELD = "E3004" "slot_held" Error ["address", "error"];
    /// The upstream rejected an order because of its fencing number.
    ORDER_FENCED = "E3005" "order_fenced" Error ["upstream", "order", "number"];
    /// An adapter load started.
    LOAD_STARTED = "E3010" "load_started" Info ["lora", "waiting"];
    /// An adapter load finished.
    LOAD_DONE = "E3011" "load_done" Info ["lora", "took_ms"];
    /// An adapter load failed.
    LOAD_FAILED = "E3012" "load_failed" Warn ["lora", "error", "again_ms"];
    /// An adapter was unloaded.
    UNLOADED = "E3013" "unloaded" Info ["lora"];
    /// An adapter was evicted to make room for another.
    EVICTED = "E3014" "evicted" Info ["lora", "for", "idle_ms"];
    /// The upstream holds an adapter that the side did not load or has no record of; it is treated as in
    /// use.
    LORA_UNACCOUNTED = "E3015" "lora_unaccounted" Warn ["lora"];
    /// An attempt started at the upstream.
    RUN_STARTED = "E3020" "run_started" Debug ["request", "attempt", "target", "waited_ms"];
    /// An attempt was answered completely.
    RUN_DONE = "E3021" "run_done" Debug ["request", "attempt", "target", "took_ms"];
    /// An attempt was rejected without having run.
    RUN_REFUSED = "E3022" "run_refused" Info ["request", "attempt", "target", "reason"];
    /// An attempt was interrupted at the upstream.
    RUN_BROKEN = "E3023" "run_broken" Warn ["request", "attempt", "target", "step", "ran", "error"];
    /// The entry abandoned an attempt, and it was cancelled at the upstream.
    RUN_CANCELLED = "E3024" "run_cancelled" Info ["request", "attempt", "target"];
    /// The upstream's response names a different model than was requested.
    MODEL_MISMATCH = "E3025" "model_mismatch" Error ["request", "attempt", "asked", "answered"];
    /// This attempt's intent is the first for its idempotency key and may run.
    KEY_WON = "E3030" "key_won" Debug ["request", "key", "offset"];
    /// Another attempt holds the idempotency key.
    KEY_HELD = "E3031" "key_held" Info ["request", "key", "state"];
    /// The outcome of a call with this key is unknown.
    KEY_UNKNOWN = "E3032" "key_unknown" Error ["request", "key"];
    /// The recorded result of a call was returned again.
    KEY_REPLAYED = "E3033" "key_replayed" Info ["request", "key"];
    /// This VM is leaving; no new work is accepted.
    VM_LEAVING = "E3040" "vm_leaving" Info ["vm", "source"];
}
