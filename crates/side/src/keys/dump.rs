//! State of the keys for people.

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
    /// Spans in force in all open parts, or else the ones to come.
    limits: Limits,
    /// Whether each open part has read all that stood in its stream when it was opened.
    caught_up: bool,
    /// Whether the log answered last, in each open part.
    up: bool,
    /// Calls that wait for a part to open.
    waiting: usize,
    /// Open parts.
    open: BTreeMap<u32, Dump>,
}

impl Keys {
    /// State for people.
    pub(crate) fn dump(&self) -> KeysDump {
        let open = self.state.open.borrow();
        let up = open.values().all(Part::is_up);
        let open: BTreeMap<u32, Dump> = open.iter().map(|(at, p)| (*at, p.dump())).collect();
        let limits = open.values().next().map(|d| d.limits);
        KeysDump {
            parts: self.state.parts,
            limits: limits.unwrap_or(self.state.context.limits.get()),
            caught_up: open.values().all(|d| d.caught_up),
            up,
            waiting: self.state.waiting.get(),
            open,
        }
    }
}
