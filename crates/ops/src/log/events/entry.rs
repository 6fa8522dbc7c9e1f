//! E2000 on: entries.

use super::super::event::{Event, rows};
use crate::Level;

rows! {
    /// Request was taken.
    REQUEST_TAKEN = "E2001" "request_taken" Debug ["request", "caller", "target"];
    /// Request was answered whole.
    REQUEST_DONE = "E2002" "request_done" Debug ["request", "caller", "target", "upstream", "attempts", "took_ms"];
    /// Request was refused, not run.
    REQUEST_REFUSED = "E2003" "request_refused" Info ["request", "caller", "target", "reason", "ran", "status"];
    /// Answer could not be made whole.
    REQUEST_BROKEN = "E2004" "request_broken" Warn ["request", "caller", "target", "upstream", "step", "ran", "error"];
    /// Caller went away.
    CALLER_GONE = "E2005" "caller_gone" Info ["request", "caller", "upstream"];
    /// Another attempt follows a refusal or a failure before commit.
    ATTEMPT_RETRIED = "E2006" "attempt_retried" Info ["request", "attempt", "upstream", "reason"];
    /// Stream goes on at another upstream from the tokens already passed on.
    REQUEST_RESUMED = "E2007" "request_resumed" Warn ["request", "attempt", "from", "upstream", "tokens"];
    /// Answer names another request, adapter or version than was asked.
    ANSWER_MISMATCH = "E2008" "answer_mismatch" Error ["request", "attempt", "upstream", "asked", "answered"];
    /// Outcome of a non-idempotent call is unknown.
    OUTCOME_UNKNOWN = "E2009" "outcome_unknown" Error ["request", "caller", "key", "upstream"];
    /// Caller is unknown, or may not call the target.
    CALLER_REFUSED = "E2010" "caller_refused" Info ["peer", "caller", "target", "reason"];
    /// Head or body of a request is malformed or over a limit.
    REQUEST_MALFORMED = "E2011" "request_malformed" Info ["peer", "request", "reason"];
    /// Side reported for the first time, or after a silence.
    SIDE_SEEN = "E2020" "side_seen" Info ["upstream", "address", "pool", "incarnation"];
    /// Side is silent.
    SIDE_SILENT = "E2021" "side_silent" Warn ["upstream", "address", "silent_ms"];
    /// Side or VM list says that an upstream leaves.
    SIDE_LEAVING = "E2022" "side_leaving" Info ["upstream", "source"];
    /// Upstream is slow and stands behind its peers.
    SIDE_STALLED = "E2023" "side_stalled" Warn ["upstream", "wait_ms"];
    /// Turn at the weight store was given.
    TURN_GIVEN = "E2030" "turn_given" Debug ["upstream", "lora", "waiting"];
    /// Turn at the weight store lapsed unused.
    TURN_LAPSED = "E2031" "turn_lapsed" Warn ["upstream", "lora"];
}
