//! Since when the list is known to answer, by anybody's word.
//!
//! A process whose own reads fail does not know whether the list is out or it alone is cut off. What the
//! others read meanwhile tells.

use pumicecleat_types::Millis;

use crate::complete_read::Listed;

/// Reads of the list to its end, by this process and others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answers {
    /// First read since the last time that nobody read for longer than anybody rests.
    since: Millis,
    last: Listed,
    /// Last read by another process.
    other: Option<Millis>,
}

impl Answers {
    /// Answers that begin with `read`, by another process if `other`.
    pub(crate) fn new(read: Listed, other: bool) -> Self {
        Self {
            since: read.at,
            last: read,
            other: other.then_some(read.at),
        }
    }

    /// Takes in one more read. Processes rest between two reads for `rest` at most.
    pub(crate) fn note(&mut self, read: Listed, other: bool, rest: Millis) {
        if read.end <= self.last.end {
            self.last = self.last.join(read);
            return;
        }
        if read.at.since(self.last.at) > rest {
            self.since = read.at;
        }
        self.last = read;
        if other {
            self.other = Some(read.at);
        }
    }

    /// Since when the list has answered without a pause, if another process read it after `down` and
    /// somebody did lately.
    pub(crate) fn since(&self, down: Millis, now: Millis, rest: Millis) -> Option<Millis> {
        let other = self.other.is_some_and(|at| at >= down);
        let lately = now.since(self.last.at) <= rest;
        (other && lately).then_some(self.since)
    }
}
