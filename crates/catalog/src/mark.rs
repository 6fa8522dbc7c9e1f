//! High-water mark of one stream.

use std::cell::{Cell, RefCell};

use async_channel::{Receiver, Sender};
use pumicecleat_types::{Position, StreamChanges};

use crate::change_log::ChangeLog;
use crate::complete_read::CompleteRead;

/// What a process knows of one stream, by its own reads and from others.
#[derive(Debug)]
pub(crate) struct Mark {
    pub(crate) position: Cell<Position>,
    /// Position up to which this process has read the stream, or has received its changes.
    pub(crate) read_position: Cell<Position>,
    /// Latest complete read of the stream by any process, if this process knows all changes up to its end.
    pub(crate) trusted_read: Cell<Option<CompleteRead>>,
    /// Latest complete read by this process.
    pub(crate) own_read: Cell<Option<CompleteRead>>,
    /// Latest complete read that its reader told, or by this process.
    exact_read: Cell<Option<CompleteRead>>,
    /// Latest complete read by another process that does not count yet, as this process has not read up to its end.
    untrusted_read: Cell<Option<CompleteRead>>,
    /// Changes up to `read_position`, for other processes.
    pub(crate) change_log: RefCell<ChangeLog>,
    /// Changes received from a relay and not applied yet.
    pub(crate) received: RefCell<Vec<StreamChanges>>,
    /// A read in progress may be waiting on a silent connection.
    pub(crate) connection_suspect: Cell<bool>,
    /// Holds a token while there may be unread records.
    sender: Sender<()>,
    pub(crate) receiver: Receiver<()>,
}

impl Default for Mark {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            position: Cell::default(),
            read_position: Cell::default(),
            trusted_read: Cell::default(),
            own_read: Cell::default(),
            exact_read: Cell::default(),
            untrusted_read: Cell::default(),
            change_log: RefCell::default(),
            received: RefCell::default(),
            connection_suspect: Cell::new(false),
            sender,
            receiver,
        }
    }
}

impl Mark {
    pub(crate) fn notify(&self) {
        // A full channel already holds a token.
        let _ = self.sender.try_send(());
    }

    /// Returns whether `position` is beyond the mark.
    pub(crate) fn advance(&self, position: Position) -> bool {
        let more = position > self.position.get();
        if more {
            self.position.set(position);
        }
        more
    }

    pub(crate) fn knows_all(&self) -> bool {
        self.position.get() <= self.read_position.get()
    }

    /// Whether this process follows the stream.
    pub(crate) fn is_followed(&self) -> bool {
        self.read_position.get() > Position::default()
    }

    pub(crate) fn note_own_read(&self, read: CompleteRead) {
        self.read_position.set(read.end);
        self.own_read.set(Some(read));
        self.exact_read.set(Some(read));
        let is_later = |known: CompleteRead| known.end > read.end;
        if self.knows_all() && !self.trusted_read.get().is_some_and(is_later) {
            self.trusted_read.set(Some(read));
        }
    }

    /// Notes that all changes up to `end` were received. Returns the read by another process that counts from now on, if
    /// there is one.
    pub(crate) fn note_received(&self, end: Position) -> Option<CompleteRead> {
        self.read_position.set(end);
        let is_known = |read: &CompleteRead| read.end <= end;
        let counts = self.untrusted_read.get().as_ref().is_some_and(is_known);
        (counts && self.knows_all())
            .then(|| self.untrusted_read.take())
            .flatten()
    }

    /// Notes a complete read that its reader itself tells, which is as old as it says. Returns whether it counts: this
    /// process has to know all changes up to its end.
    pub(crate) fn note_told_read(&self, read: CompleteRead) -> bool {
        if !self.knows_all() || self.read_position.get() < read.end {
            self.untrusted_read.set(Some(read));
            return false;
        }
        let is_newer = |known: CompleteRead| known.as_of < read.as_of;
        if self.trusted_read.get().is_none_or(is_newer) {
            self.trusted_read.set(Some(read));
            self.exact_read.set(Some(read));
        }
        true
    }

    /// Notes a complete read by another process; returns whether it counts for this process, which then knows all
    /// changes up to its end. A process that does not follow the stream only passes the read on.
    pub(crate) fn note_read_by_other(&self, read: CompleteRead) -> bool {
        if self.is_followed() && !self.knows_all() {
            self.untrusted_read.set(Some(read));
            return false;
        }
        let known = self.trusted_read.get();
        let latest = known.map_or(read, |known| known.merge(read));
        // Passed-on reads are told apart by their ends only, and look older than they are while the end is the same.
        let exact = self.exact_read.get();
        let exact = exact.filter(|exact| exact.end == latest.end && exact.as_of > latest.as_of);
        self.trusted_read.set(exact.or(Some(latest)));
        self.is_followed()
    }
}
