//! E3000 on: sides.

use super::super::event::{Event, rows};
use crate::Level;

rows! {
    /// Upstream answers.
    UPSTREAM_UP = "E3001" "upstream_up" Info ["upstream", "resident", "running"];
    /// Upstream does not answer.
    UPSTREAM_DOWN = "E3002" "upstream_down" Error ["upstream", "step", "error"];
    /// Upstream started anew: what was resident is gone.
    UPSTREAM_RESTARTED = "E3003" "upstream_restarted" Warn ["upstream"];
    /// Slot is held by another process on this VM.
    SLOT_HELD = "E3004" "slot_held" Error ["address", "error"];
    /// Upstream refused an order by its fencing number.
    ORDER_FENCED = "E3005" "order_fenced" Error ["upstream", "order", "number"];
    /// Load of an adapter started.
    LOAD_STARTED = "E3010" "load_started" Info ["lora", "waiting"];
    /// Load of an adapter is done.
    LOAD_DONE = "E3011" "load_done" Info ["lora", "took_ms"];
    /// Load of an adapter failed.
    LOAD_FAILED = "E3012" "load_failed" Warn ["lora", "error", "again_ms"];
    /// Adapter was unloaded.
    UNLOADED = "E3013" "unloaded" Info ["lora"];
    /// Adapter was evicted for another.
    EVICTED = "E3014" "evicted" Info ["lora", "for", "idle_ms"];
    /// Upstream holds an adapter that the side can't account for; it counts as in use.
    LORA_UNACCOUNTED = "E3015" "lora_unaccounted" Warn ["lora"];
    /// Attempt was started at the upstream.
    RUN_STARTED = "E3020" "run_started" Debug ["request", "attempt", "target", "waited_ms"];
    /// Attempt was answered whole.
    RUN_DONE = "E3021" "run_done" Debug ["request", "attempt", "target", "took_ms"];
    /// Attempt was refused, not run.
    RUN_REFUSED = "E3022" "run_refused" Info ["request", "attempt", "target", "reason"];
    /// Attempt broke off at the upstream.
    RUN_BROKEN = "E3023" "run_broken" Warn ["request", "attempt", "target", "step", "ran", "error"];
    /// Entry gave the attempt up; it was cancelled at the upstream.
    RUN_CANCELLED = "E3024" "run_cancelled" Info ["request", "attempt", "target"];
    /// Answer of the upstream names another model than was ordered.
    MODEL_MISMATCH = "E3025" "model_mismatch" Error ["request", "attempt", "asked", "answered"];
    /// Intent for an idempotency key won.
    KEY_WON = "E3030" "key_won" Debug ["request", "key", "offset"];
    /// Another attempt holds the idempotency key.
    KEY_HELD = "E3031" "key_held" Info ["request", "key", "state"];
    /// Outcome of a call with this key is unknown.
    KEY_UNKNOWN = "E3032" "key_unknown" Error ["request", "key"];
    /// Recorded result was given again.
    KEY_REPLAYED = "E3033" "key_replayed" Info ["request", "key"];
    /// This VM leaves; no new work is taken.
    VM_LEAVING = "E3040" "vm_leaving" Info ["vm", "source"];
}
