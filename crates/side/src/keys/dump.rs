//! Dump of the state of the keys.

use std::collections::BTreeMap;

use pumicecleat_ledger::{Dump, Limits};
use serde::Serialize;

use super::Keys;
use super::part::Part;

/// State of a service's keys at this side.
#[derive(Debug, Serialize)]
pub(crate) struct KeysDump {
    /// Number of parts.
    parts: u32,
    /// Limits in force in the open parts, or those of the next part to be opened if none is.
    limits: Limits,
    /// Whether each open part has read all that its stream held when it was opened.
    caught_up: bool,
    /// Whether the log answered the latest read of each open part.
    up: bool,
    /// Calls that wait for a part to open.
    waiting: usize,
    /// Open parts, by index.
    open: BTreeMap<u32, Dump>,
}

impl Keys {
    /// State of the keys, for the dump.
    pub(crate) fn dump(&self) -> KeysDump {
        let open = self.state.open_parts.borrow();
        let up = open.values().all(Part::is_log_up);
        let open: BTreeMap<u32, Dump> = open.iter().map(|(index, p)| (*index, p.dump())).collect();
        let limits = open.values().next().map(|d| d.limits);
        KeysDump {
            parts: self.state.parts,
            limits: limits.unwrap_or(self.state.context.limits.get()),
            caught_up: open.values().all(|d| d.caught_up),
            up,
            waiting: self.state.waiting_calls.get(),
            open,
        }
    }
}
