//! Events from E5000: the operators' command-line tool.

use super::super::event::{Event, events};
use crate::Level;

events! {
    /// A configuration file has an error.
    FILE_FAULT = "E5001" "file_fault" Error ["file", "line", "field", "fault"];
    /// A change was appended to the log; the tool waits for the verdict.
    CHANGE_APPENDED = "E5002" "change_appended" Info ["change", "offset", "base"];
    /// A change was accepted.
    CHANGE_ACCEPTED = "E5003" "change_accepted" Info ["change", "revision"];
    /// A change was rejected.
    CHANGE_REFUSED = "E5004" "change_refused" Error ["change", "base", "revision", "reason"];
    /// No verdict on a change arrived before the timeout.
    VERDICT_LATE = "E5005" "verdict_late" Error ["change", "waited_ms"];
    /// A process could not be queried.
    PROCESS_SILENT = "E5006" "process_silent" Warn ["address", "error"];
    /// The demo deployment is running.
    DEMO_UP = "E5010" "demo_up" Info ["address"];
}
