//! Events from E2000: entries.

use super::super::event::{Event, events};
use crate::Level;

events! {
    /// A request was accepted.
    REQUEST_TAKEN = "E2001" "request_taken" Debug ["request", "caller", "target"];
    /// A request was answered completely.
    REQUEST_DONE = "E2002" "request_done" Debug ["request", "caller", "target", "upstream", "attempts", "took_ms"];
    /// A request was rejected without having run.
    REQUEST_REFUSED = "E2003" "request_refused" Info ["request", "caller", "target", "reason", "ran", "status"];
    /// A response could not be completed.
    REQUEST_BROKEN = "E2004" "request_broken" Warn ["request", "caller", "target", "upstream", "step", "ran", "error"];
    /// The caller disconnected.
    CALLER_GONE = "E2005" "caller_gone" Info ["request", "caller", "upstream"];
    /// A request is retried after a rejection, or a failure before the response was committed.
    ATTEMPT_RETRIED = "E2006" "attempt_retried" Info ["request", "attempt", "upstream", "reason"];
    /// A stream resumes at another upstream after the tokens already forwarded.
    REQUEST_RESUMED = "E2007" "request_resumed" Warn ["request", "attempt", "from", "upstream", "tokens"];
    /// A response names a different request, adapter or version than was asked for.
    ANSWER_MISMATCH = "E2008" "answer_mismatch" Error ["request", "attempt", "upstream", "asked", "answered"];
    /// The outcome of a non-idempotent call is unknown.
    OUTCOME_UNKNOWN = "E2009" "outcome_unknown" Error ["request", "caller", "key", "upstream"];
    /// The caller is unknown or is not allowed to call the target.
    CALLER_REFUSED = "E2010" "caller_refused" Info ["peer", "caller", "target", "reason"];
    /// The head or body of a request is malformed or exceeds a limit.
    REQUEST_MALFORMED = "E2011" "request_malformed" Info ["peer", "request", "reason"];
    /// A side reported for the first time, or after it was silent.
    SIDE_SEEN = "E2020" "side_seen" Info ["upstream", "address", "pool", "incarnation"];
    /// A side has stopped reporting.
    SIDE_SILENT = "E2021" "side_silent" Warn ["upstream", "address", "silent_ms"];
    /// A side or the VM list announced that an upstream is leaving.
    SIDE_LEAVING = "E2022" "side_leaving" Info ["upstream", "source"];
    /// An upstream is slow and ranks after its peers.
    SIDE_STALLED = "E2023" "side_stalled" Warn ["upstream", "wait_ms"];
    /// A turn at the weight store was granted.
    TURN_GIVEN = "E2030" "turn_given" Debug ["upstream", "lora", "waiting"];
    /// A turn at the weight store expired unused.
    TURN_LAPSED = "E2031" "turn_lapsed" Warn ["upstream", "lora"];
}
