//! High-water marks of the streams, shared between processes.
//!
//! Processes exchange the position after the last record that changed something. A process that receives a
//! later position than its own reads at once. A long poll or a silent connection then delays no process, as
//! long as one process has received the record. The records themselves are read only from the log.
//!
//! The list of upstreams changes all the time because each upstream rewrites its entry about once a second,
//! mostly without any news. Processes therefore also exchange the age of the latest complete read of the
//! list. A process that knows all changes up to that read needs no read of its own, so a few processes read
//! on behalf of all. Messages are delayed and passed on in cycles. A read is therefore identified by the end
//! position that it found, and its time is the earliest that any message gives.

use std::cell::Cell;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use pumicecleat_infra::as_millis;
use pumicecleat_net::Timer;
use pumicecleat_types::{Millis, Position, StreamMarks};

use crate::Topic;
use crate::availability::Availability;
use crate::complete_read::CompleteRead;

/// High-water marks of the streams; initially zero.
#[derive(Debug, Default)]
pub struct Marks {
    operators: Mark,
    upstreams: Mark,
    /// Latest complete read of the list by any process, if this process knows all changes up to its end.
    trusted_read: Cell<Option<CompleteRead>>,
    /// Latest read of the list, by any process, whose results this process knows in full.
    list_as_of: Cell<Option<CompleteRead>>,
    /// Position up to which this process has read the list.
    read_position: Cell<Position>,
    /// Availability of the list.
    availability: Cell<Option<Availability>>,
    /// Latest era of the log announced by another process, and the time of the first announcement.
    announced_era: Cell<Option<(u64, Millis)>>,
    /// Longest interval between two reads of the list by any process.
    max_read_interval: Millis,
}

#[derive(Debug)]
struct Mark {
    position: Cell<Position>,
    /// A read in progress may be waiting on a silent connection.
    connection_suspect: Cell<bool>,
    /// Holds a token while there may be unread records.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Mark {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            position: Cell::default(),
            connection_suspect: Cell::new(false),
            sender,
            receiver,
        }
    }
}

impl Mark {
    fn notify(&self) {
        // A full channel already holds a token.
        let _ = self.sender.try_send(());
    }

    /// Returns whether `position` is beyond the mark.
    fn advance(&self, position: Position) -> bool {
        let more = position > self.position.get();
        if more {
            self.position.set(position);
        }
        more
    }
}

impl Marks {
    /// Creates the marks of a process in a deployment whose processes read the list at intervals of at most
    /// `max_read_interval`.
    #[must_use]
    pub fn new_ext(max_read_interval: Duration) -> Self {
        Self {
            max_read_interval: as_millis(max_read_interval),
            ..Self::default()
        }
    }

    fn mark(&self, topic: Topic) -> &Mark {
        match topic {
            Topic::Operators => &self.operators,
            Topic::Upstreams => &self.upstreams,
        }
    }

    /// Builds the message for other processes.
    #[must_use]
    pub fn to_message(&self, now: Millis) -> StreamMarks {
        StreamMarks {
            operators: self.operators.position.get(),
            upstreams: self.upstreams.position.get(),
            listed: self.trusted_read.get().map(|read| read.to_message(now)),
        }
    }

    /// Merges a message from another process.
    pub fn merge(&self, marks: &StreamMarks, now: Millis) {
        let read = marks.listed.map(|read| read.end).unwrap_or_default();
        let latest = read.max(marks.operators).max(marks.upstreams);
        self.note_era(latest.era, now);
        if self.operators.advance(marks.operators) {
            self.operators.notify();
        }
        if self.upstreams.advance(marks.upstreams) {
            self.upstreams.notify();
        }
        let read = marks
            .listed
            .and_then(|read| CompleteRead::from_message(read, now));
        if let Some(read) = read {
            self.note_available(read, true);
            self.note_read_by_other(read);
        }
    }

    fn note_era(&self, era: u64, now: Millis) {
        if self
            .announced_era
            .get()
            .is_none_or(|(known, _)| known < era)
        {
            self.announced_era.set(Some((era, now)));
        }
    }

    /// Returns the earliest known time of `era`, which this process has found in the log at `now`. Other
    /// processes may have announced it long before, while this process could not reach the log.
    pub(crate) fn era_start(&self, era: u64, now: Millis) -> Millis {
        let announced = self.announced_era.get().filter(|(known, _)| *known == era);
        announced.map_or(now, |(_, at)| at)
    }

    /// Notes that this process has read the list to its end, which is `end`, as of `as_of`.
    pub(crate) fn note_own_read(&self, end: Position, as_of: Millis) {
        let read = CompleteRead { end, as_of };
        self.read_position.set(end);
        // A read that finds the same end again is as old as its own start, not as that of the first one.
        if self.list_as_of.get().is_none_or(|known| known.end <= end) {
            self.list_as_of.set(Some(read));
        }
        self.note_available(read, false);
        let later = self.trusted_read.get().is_some_and(|known| known.end > end);
        if self.knows_all() && !later {
            self.trusted_read.set(Some(read));
        }
    }

    /// Returns the time since which the list has been available without a gap, if other processes have read
    /// it after `down_since`, when this process could not.
    pub(crate) fn list_available_since(&self, down_since: Millis, now: Millis) -> Option<Millis> {
        self.availability
            .get()?
            .available_since(down_since, now, self.max_read_interval)
    }

    fn note_available(&self, read: CompleteRead, by_other: bool) {
        let mut availability = self
            .availability
            .get()
            .unwrap_or(Availability::new(read, by_other));
        availability.note_read(read, by_other, self.max_read_interval);
        self.availability.set(Some(availability));
    }

    /// Notes a complete read by another process. It counts for this process only if this process knows all
    /// changes up to its end. A process that does not read the list only passes the read on.
    fn note_read_by_other(&self, read: CompleteRead) {
        let reads = self.read_position.get() > Position::default();
        if reads && !self.knows_all() {
            return;
        }
        let latest = self
            .trusted_read
            .get()
            .map_or(read, |known| known.merge(read));
        self.trusted_read.set(Some(latest));
        if reads
            && self
                .list_as_of
                .get()
                .is_none_or(|known| known.end < read.end)
        {
            self.list_as_of.set(Some(read));
        }
    }

    /// Returns the time since the start of the latest read of the list, by any process, whose results this
    /// process knows in full; `None` before this process has first read the list to its end.
    #[must_use]
    pub fn list_age(&self, now: Millis) -> Option<Millis> {
        self.list_as_of.get().map(|read| now.since(read.as_of))
    }

    fn knows_all(&self) -> bool {
        self.upstreams.position.get() <= self.read_position.get()
    }

    /// Notes that the list has records that this process has not read.
    pub(crate) fn distrust_list(&self) {
        self.trusted_read.set(None);
    }

    /// Waits until this process's view of the list is older than `max_age`.
    pub(crate) async fn wait_until_stale(&self, max_age: Duration, timer: &Timer) {
        while let Some(read) = self.trusted_read.get() {
            let due = read.as_of + as_millis(max_age);
            if timer.now() >= due {
                return;
            }
            timer.sleep_until(due).await;
        }
    }

    /// Notes that this process has read `topic` up to `position` and that the records changed something.
    pub(crate) fn note_position(&self, topic: Topic, position: Position) {
        self.mark(topic).advance(position);
    }

    /// Notes that `topic` ends at `end`: a process that has not read up to it reads at once.
    pub fn hint(&self, topic: Topic, end: Position) {
        let mark = self.mark(topic);
        if mark.advance(end) {
            mark.notify();
        }
    }

    /// Notes that the log did not respond on `topic`: a read of the other topic may be waiting on a
    /// connection that fell silent at the same time.
    pub(crate) fn suspect_connection(&self, topic: Topic) {
        let other = match topic {
            Topic::Operators => &self.upstreams,
            Topic::Upstreams => &self.operators,
        };
        other.connection_suspect.set(true);
        other.notify();
    }

    /// Waits until a read of `topic` that started at `position` should be abandoned for a new one.
    pub(crate) async fn wait_for_hint(&self, topic: Topic, position: Option<Position>) {
        let mark = self.mark(topic);
        loop {
            // The channel can't close while `self` holds both ends.
            let _ = mark.receiver.recv().await;
            let suspect = mark.connection_suspect.take();
            if position.is_some_and(|at| suspect || mark.position.get() > at) {
                return;
            }
        }
    }
}
