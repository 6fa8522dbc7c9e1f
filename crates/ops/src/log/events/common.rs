//! Events from E1000: all daemons.

use super::super::event::{Event, events};
use crate::Level;

events! {
    /// The process started.
    STARTED = "E1001" "started" Info ["program", "version", "vm", "centre", "region"];
    /// A setting is invalid.
    SETTING_FAULT = "E1002" "setting_fault" Error ["fault"];
    /// A listener was bound.
    LISTENING = "E1003" "listening" Info ["purpose", "address"];
    /// A listener could not be bound.
    BIND_FAILED = "E1004" "bind_failed" Error ["purpose", "address", "error"];
    /// The process became ready.
    READY = "E1005" "ready" Info [];
    /// The process is no longer ready.
    NOT_READY = "E1006" "not_ready" Warn ["reasons"];
    /// A configuration revision took effect.
    CONFIG_IN_FORCE = "E1010" "config_in_force" Info ["revision", "offset", "source"];
    /// A configuration change was rejected.
    CONFIG_REFUSED = "E1011" "config_refused" Warn ["revision", "offset", "reason"];
    /// A log record can't be decoded.
    RECORD_BAD = "E1012" "record_bad" Error ["offset", "error"];
    /// A configuration snapshot was appended to the log.
    SNAPSHOT_WRITTEN = "E1013" "snapshot_written" Info ["offset", "revision"];
    /// A peer does not respond.
    PEER_DOWN = "E1020" "peer_down" Warn ["peer", "step", "error"];
    /// A peer responds again.
    PEER_UP = "E1021" "peer_up" Info ["peer"];
    /// A message of a peer was rejected.
    PEER_BAD = "E1022" "peer_bad" Warn ["peer", "error"];
    /// SIGTERM, SIGINT or the VM list requested a stop.
    STOP_ASKED = "E1030" "stop_asked" Info ["source"];
    /// The process rejects new requests and waits for those in flight.
    DRAIN_STARTED = "E1031" "drain_started" Info ["open", "limit_ms"];
    /// All requests in flight have ended.
    DRAIN_FINISHED = "E1032" "drain_finished" Info ["took_ms"];
    /// The stop aborted a request.
    DRAIN_CUT = "E1033" "drain_cut" Error ["request", "cause"];
    /// A second signal stops the process immediately.
    SECOND_SIGNAL = "E1034" "second_signal" Warn ["open"];
    /// The process exits.
    STOPPED = "E1035" "stopped" Info ["cut", "dropped_lines"];
    /// Log lines were dropped because the writer was too slow.
    LINES_DROPPED = "E1040" "lines_dropped" Warn ["lines"];
    /// An invariant inside the program does not hold.
    INTERNAL = "E1090" "internal" Error ["step", "error"];
}
