//! How recently the configuration of this process is known to have been the newest.
//!
//! A read of the operators' records that finds no record beyond those known confirms the configuration as of the
//! start of the read: records that were acknowledged before it would have been found. The time is kept on the
//! clock that counts suspensions of the VM, because what operators withdraw must end on a suspended VM too.

use std::cell::Cell;

use pumicecleat_types::{BootTime, EndRead, Millis, Position};

/// A read that found the end of the operators' records.
#[derive(Clone, Copy, Debug)]
struct KnownEnd {
    end: Position,
    /// Time as of which the end is known.
    as_of: BootTime,
}

/// Confirmations of the configuration; initially none.
#[derive(Debug, Default)]
pub struct Confirmations {
    /// Position up to which this process knows the records.
    known_to: Cell<Option<Position>>,
    /// Time as of which the configuration was the newest.
    confirmed_at: Cell<Option<BootTime>>,
    /// Latest read whose end is beyond the records known.
    ahead: Cell<Option<KnownEnd>>,
    /// Latest read, whether or not its records are known.
    latest: Cell<Option<KnownEnd>>,
    /// The log does not answer this process.
    is_down: Cell<bool>,
}

impl Confirmations {
    /// Notes that this process knows all records before `position`.
    pub fn note_known(&self, position: Position) {
        self.known_to.set(Some(position));
        if let Some(read) = self.ahead.get()
            && read.end <= position
        {
            self.ahead.set(None);
            self.confirm(read.as_of);
        }
    }

    /// Notes a read as of `as_of`, by any process, that found `end`.
    pub fn note_end(&self, end: Position, as_of: BootTime) {
        let read = KnownEnd { end, as_of };
        if self.latest.get().is_none_or(|latest| latest.as_of < as_of) {
            self.latest.set(Some(read));
        }
        if self.known_to.get().is_some_and(|known| end <= known) {
            self.confirm(as_of);
        } else if self.ahead.get().is_none_or(|read| read.as_of < as_of) {
            self.ahead.set(Some(read));
        }
    }

    fn confirm(&self, as_of: BootTime) {
        self.confirmed_at
            .set(self.confirmed_at.get().max(Some(as_of)));
    }

    pub(crate) fn set_down(&self, is_down: bool) {
        self.is_down.set(is_down);
    }

    pub(crate) fn is_down(&self) -> bool {
        self.is_down.get()
    }

    /// Returns the position up to which this process knows the records; `None` before the first read.
    #[must_use]
    pub fn known_to(&self) -> Option<Position> {
        self.known_to.get()
    }

    /// Returns the latest read for other processes, with its age at `now`.
    #[must_use]
    pub fn latest_read(&self, now: BootTime) -> Option<EndRead> {
        let latest = self.latest.get()?;
        let age_ms = now.since(latest.as_of).0;
        Some(EndRead {
            end: latest.end,
            age_ms,
        })
    }

    /// Notes a read that another process told in its response to a call sent at `sent_at`. The response was
    /// written later than that, so that the read is at most as old as it seems.
    pub fn note_told(&self, read: EndRead, sent_at: BootTime) {
        self.note_end(read.end, sent_at.before(Millis(read.age_ms)));
    }

    /// Returns the time since which the configuration may have been replaced without this process knowing;
    /// `None` before the first read.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Millis> {
        self.confirmed_at.get().map(|at| now.since(at))
    }
}
