//! E1000 on: every daemon.

use super::super::event::{Event, rows};
use crate::Level;

rows! {
    /// Process started.
    STARTED = "E1001" "started" Info ["program", "version", "vm", "centre", "region"];
    /// Setting is wrong.
    SETTING_FAULT = "E1002" "setting_fault" Error ["fault"];
    /// Listener is bound.
    LISTENING = "E1003" "listening" Info ["purpose", "address"];
    /// Listener could not be bound.
    BIND_FAILED = "E1004" "bind_failed" Error ["purpose", "address", "error"];
    /// Process became ready.
    READY = "E1005" "ready" Info [];
    /// Process is no longer ready.
    NOT_READY = "E1006" "not_ready" Warn ["reasons"];
    /// A revision of the configuration is in force.
    CONFIG_IN_FORCE = "E1010" "config_in_force" Info ["revision", "offset", "source"];
    /// A change of the configuration was refused.
    CONFIG_REFUSED = "E1011" "config_refused" Warn ["revision", "offset", "reason"];
    /// A record of the log can't be read.
    RECORD_BAD = "E1012" "record_bad" Error ["offset", "error"];
    /// A snapshot was appended.
    SNAPSHOT_WRITTEN = "E1013" "snapshot_written" Info ["offset", "revision"];
    /// A peer does not answer.
    PEER_DOWN = "E1020" "peer_down" Warn ["peer", "step", "error"];
    /// A peer answers again.
    PEER_UP = "E1021" "peer_up" Info ["peer"];
    /// A peer's message was refused.
    PEER_BAD = "E1022" "peer_bad" Warn ["peer", "error"];
    /// SIGTERM, SIGINT or the VM list asked for a stop.
    STOP_ASKED = "E1030" "stop_asked" Info ["source"];
    /// New work is refused; work under way goes on.
    DRAIN_STARTED = "E1031" "drain_started" Info ["open", "limit_ms"];
    /// All work under way has ended.
    DRAIN_FINISHED = "E1032" "drain_finished" Info ["took_ms"];
    /// The stop cut a request.
    DRAIN_CUT = "E1033" "drain_cut" Error ["request", "cause"];
    /// A second signal ends the process at once.
    SECOND_SIGNAL = "E1034" "second_signal" Warn ["open"];
    /// Process ends.
    STOPPED = "E1035" "stopped" Info ["cut", "dropped_lines"];
    /// Log lines were dropped.
    LINES_DROPPED = "E1040" "lines_dropped" Warn ["lines"];
    /// An invariant inside the program does not hold.
    INTERNAL = "E1090" "internal" Error ["step", "error"];
}
