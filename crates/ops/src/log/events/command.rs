//! E5000 on: the operators' command line.

use super::super::event::{Event, rows};
use crate::Level;

rows! {
    /// File of the configuration is wrong.
    FILE_FAULT = "E5001" "file_fault" Error ["file", "line", "field", "fault"];
    /// Change was appended; its verdict is awaited.
    CHANGE_APPENDED = "E5002" "change_appended" Info ["change", "offset", "base"];
    /// Change is accepted.
    CHANGE_ACCEPTED = "E5003" "change_accepted" Info ["change", "revision"];
    /// Change is refused.
    CHANGE_REFUSED = "E5004" "change_refused" Error ["change", "base", "revision", "reason"];
    /// Verdict did not come in time.
    VERDICT_LATE = "E5005" "verdict_late" Error ["change", "waited_ms"];
    /// Process could not be asked.
    PROCESS_SILENT = "E5006" "process_silent" Warn ["address", "error"];
    /// Demonstration is up.
    DEMO_UP = "E5010" "demo_up" Info ["address"];
}
