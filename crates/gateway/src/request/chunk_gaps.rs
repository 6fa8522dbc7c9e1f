//! Times between the chunks of a response.

use std::cell::Cell;

use pumicecleat_types::Millis;

/// Longest time between two chunks of a response, which may come from several upstreams.
#[derive(Debug, Default)]
pub(super) struct ChunkGaps {
    last: Cell<Option<Millis>>,
    longest: Cell<Option<Millis>>,
}

impl ChunkGaps {
    /// Records that a chunk arrived.
    pub(super) fn record_chunk(&self, now: Millis) {
        let Some(last) = self.last.replace(Some(now)) else {
            return;
        };
        let gap = now.since(last);
        self.longest.set(self.longest.get().max(Some(gap)));
    }

    /// Longest time between two chunks; `None` before the second.
    pub(super) fn longest(&self) -> Option<Millis> {
        self.longest.get()
    }
}
