//! Outages of the log, as seen by one process.

use pumicecleat_types::Millis;

use crate::Marks;

/// Time during which this process got no answer from the log.
#[derive(Clone, Copy)]
pub(super) struct Outage {
    pub(super) start: Millis,
    pub(super) end: Millis,
}

impl Outage {
    /// Returns the time since which the list has been available. If other processes have read it, this may be
    /// long before the end of the outage for this process, or even before its start. Reads of others don't show a
    /// short outage, so a relay that saw one tells when it ended.
    pub(super) fn list_recovery(self, marks: &Marks, now: Millis) -> Millis {
        if let Some(at) = marks.relay_recovery(self.start) {
            return at.min(self.end);
        }
        let since = marks.list_available_since(self.start, now);
        since.map_or(self.end, |since| since.min(self.end))
    }
}
