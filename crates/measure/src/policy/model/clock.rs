//! Virtual time: events in order of time, and of scheduling where times are equal.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

/// Queue of events.
#[derive(Debug)]
pub(crate) struct Clock<E> {
    now: Millis,
    seq: u64,
    events: BTreeMap<(Millis, u64), E>,
}

impl<E> Clock<E> {
    pub(crate) fn new() -> Self {
        Self {
            now: Millis(0),
            seq: 0,
            events: BTreeMap::new(),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.now
    }

    pub(crate) fn at(&mut self, at: Millis, event: E) {
        self.seq += 1;
        self.events.insert((at.max(self.now), self.seq), event);
    }

    pub(crate) fn after(&mut self, span: Millis, event: E) {
        self.at(self.now + span, event);
    }

    /// Takes the next event and moves the time to it.
    pub(crate) fn next(&mut self) -> Option<E> {
        let ((at, _), event) = self.events.pop_first()?;
        self.now = at;
        Some(event)
    }
}
