//! Limit of appends in any second.

use std::collections::VecDeque;

use pumicecleat_types::Millis;

const WINDOW: Millis = Millis(1000);

/// Appends of the last second.
pub(crate) struct Rate {
    limit: usize,
    recent: VecDeque<Millis>,
}

impl Rate {
    /// Limit of so many in any second.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            recent: VecDeque::new(),
        }
    }

    /// Counts one at `now`, unless the limit is reached.
    pub(crate) fn admit(&mut self, now: Millis) -> bool {
        while self.recent.front().is_some_and(|t| now.since(*t) >= WINDOW) {
            self.recent.pop_front();
        }
        let free = self.recent.len() < self.limit;
        if free {
            self.recent.push_back(now);
        }
        free
    }
}
