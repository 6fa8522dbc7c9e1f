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
//!
//! Where a relay follows the streams, processes also receive the changed records from it. They read the log
//! themselves only once what the relay knows is too old.

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::{Either, select};
use pumicecleat_infra::{KeyedRecord, as_millis};
use pumicecleat_net::Timer;
use pumicecleat_types::{
    Millis, Position, ReadPositions, StreamChanges, StreamMarks, StreamsReply,
};

use crate::Topic;
use crate::availability::Availability;
use crate::complete_read::CompleteRead;
use crate::mark::Mark;

/// Time after the last reply of a relay that follows the streams for which its changes are waited for. Five views.
const RELAYED_TTL: Millis = Millis(1_000);

/// Time for which a process that was told of changes waits to receive them. Two views.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(400);

/// High-water marks of the streams; initially zero.
#[derive(Debug, Default)]
pub struct Marks {
    operators: Mark,
    upstreams: Mark,
    /// Latest read of the list, by any process, whose results this process knows in full.
    list_as_of: Cell<Option<CompleteRead>>,
    /// Availability of the list.
    availability: Cell<Option<Availability>>,
    /// Latest era of the log announced by another process, and the time of the first announcement.
    announced_era: Cell<Option<(u64, Millis)>>,
    /// End of the last outage of the list that this process saw.
    recovered_at: Cell<Option<Millis>>,
    /// The same, as seen by the relay.
    relay_recovered_at: Cell<Option<Millis>>,
    /// Time of the last reply of a relay that follows the streams.
    relayed_at: Cell<Option<Millis>>,
    /// Longest interval between two reads of the list by any process.
    max_read_interval: Millis,
}

/// Reason to abandon a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hint {
    /// Other processes know of later changes.
    Changes,
    /// The connection may be silent.
    SilentConnection,
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
        let listed = self.upstreams.trusted_read.get();
        StreamMarks {
            operators: self.operators.position.get(),
            upstreams: self.upstreams.position.get(),
            listed: listed.map(|read| read.to_message(now)),
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
            self.note_list_read_by_other(read);
        }
    }

    /// Returns the positions up to which this process has read the streams.
    #[must_use]
    pub fn read_to(&self) -> ReadPositions {
        ReadPositions {
            operators: self.operators.read_position.get(),
            upstreams: self.upstreams.read_position.get(),
        }
    }

    /// Returns what this process, which follows the streams, passes on to one that has read them up to `read_to`.
    #[must_use]
    pub fn to_streams_reply(&self, read_to: ReadPositions, now: Millis) -> StreamsReply {
        let own_read = |mark: &Mark| mark.own_read.get().map(|read| read.to_message(now));
        StreamsReply {
            operators_read: own_read(&self.operators),
            upstreams_read: own_read(&self.upstreams),
            recovered_ms: self.recovered_at.get().map(|at| now.since(at).0),
            operators: self.operators.change_log.borrow().since(read_to.operators),
            upstreams: self.upstreams.change_log.borrow().since(read_to.upstreams),
        }
    }

    /// Receives what a relay passes on in its reply to a call sent at `sent_at`, before the marks of the reply are merged.
    pub fn receive(&self, reply: StreamsReply, sent_at: Millis) {
        self.relayed_at.set(Some(sent_at));
        let recovered_at = reply.recovered_ms.map(|ms| sent_at - Millis(ms));
        self.relay_recovered_at.set(recovered_at);
        let topics = [
            (Topic::Operators, reply.operators, reply.operators_read),
            (Topic::Upstreams, reply.upstreams, reply.upstreams_read),
        ];
        for (topic, changes, read) in topics {
            let mark = self.mark(topic);
            if let Some(changes) = changes {
                mark.received.borrow_mut().push(changes);
                mark.notify();
            }
            if let Some(read) = read.and_then(|read| CompleteRead::from_message(read, sent_at)) {
                self.note_told_read(topic, read);
            }
        }
    }

    /// Notes a complete read of `topic` that its reader itself tells.
    fn note_told_read(&self, topic: Topic, read: CompleteRead) {
        let counts = self.mark(topic).note_told_read(read);
        let is_newer = |known: CompleteRead| known.as_of < read.as_of;
        if topic == Topic::Upstreams && counts && self.list_as_of.get().is_none_or(is_newer) {
            self.list_as_of.set(Some(read));
        }
    }

    /// Whether a relay passes on the changes of the streams.
    pub(crate) fn is_relayed(&self, now: Millis) -> bool {
        let at = self.relayed_at.get();
        at.is_some_and(|at| now.since(at) < RELAYED_TTL)
    }

    /// Takes the changes of `topic` that were received from a relay.
    pub(crate) fn take_received(&self, topic: Topic) -> Vec<StreamChanges> {
        self.mark(topic).received.take()
    }

    /// Waits until changes of `topic` are received from a relay, for a short time.
    pub(crate) async fn wait_for_changes(&self, topic: Topic, timer: &Timer) {
        let mark = self.mark(topic);
        let end = timer.now() + as_millis(CHANGES_TIMEOUT);
        while mark.received.borrow().is_empty() {
            let received = Box::pin(mark.receiver.recv());
            let timeout = Box::pin(timer.sleep_until(end));
            if let Either::Right(_) = select(received, timeout).await {
                return;
            }
        }
    }

    /// Notes the records between `from` and `to` that changed something, so that they can be passed on.
    pub(crate) fn note_changes(
        &self,
        topic: Topic,
        (from, to): (Position, Position),
        changed: &[KeyedRecord],
    ) {
        let mut change_log = self.mark(topic).change_log.borrow_mut();
        change_log.extend(from, to, changed);
    }

    /// Notes that the state of `topic` was read as of `position`, whatever changed before.
    pub(crate) fn note_state(&self, topic: Topic, position: Position) {
        self.mark(topic).change_log.borrow_mut().restart(position);
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

    /// Notes that this process has read `topic` to its end, which is `end`, as of `as_of`.
    pub(crate) fn note_own_read(&self, topic: Topic, end: Position, as_of: Millis) {
        let read = CompleteRead { end, as_of };
        self.mark(topic).note_own_read(read);
        if topic == Topic::Upstreams {
            // A read that finds the same end again is as old as its own start, not as that of the first one.
            if self.list_as_of.get().is_none_or(|known| known.end <= end) {
                self.list_as_of.set(Some(read));
            }
            self.note_available(read, false);
        }
    }

    /// Notes that this process has received all changes of `topic` up to `end`. Reads by other processes up to there
    /// count from now on.
    pub(crate) fn note_received(&self, topic: Topic, end: Position) {
        if let Some(read) = self.mark(topic).note_received(end) {
            self.note_told_read(topic, read);
        }
    }

    /// Whether other processes know of changes of `topic` that this process has not read.
    pub(crate) fn is_behind(&self, topic: Topic) -> bool {
        !self.mark(topic).knows_all()
    }

    /// Notes that an outage of the list ended for this process at `at`.
    pub(crate) fn note_recovery(&self, at: Millis) {
        self.recovered_at.set(Some(at));
    }

    /// Returns the end of an outage of the list that the relay saw as well, if it ended after `down_since`.
    pub(crate) fn relay_recovery(&self, down_since: Millis) -> Option<Millis> {
        let at = self.relay_recovered_at.get();
        at.filter(|at| *at >= down_since)
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

    fn note_list_read_by_other(&self, read: CompleteRead) {
        let counts = self.upstreams.note_read_by_other(read);
        let known = self.list_as_of.get();
        if counts && known.is_none_or(|known| known.end < read.end) {
            self.list_as_of.set(Some(read));
        }
    }

    /// Returns the time since the start of the latest read of the list, by any process, whose results this
    /// process knows in full; `None` before this process has first read the list to its end.
    #[must_use]
    pub fn list_age(&self, now: Millis) -> Option<Millis> {
        self.list_as_of.get().map(|read| now.since(read.as_of))
    }

    /// Notes that `topic` has records that this process has not read.
    pub(crate) fn distrust(&self, topic: Topic) {
        self.mark(topic).trusted_read.set(None);
    }

    /// Waits until this process's view of `topic` is older than `max_age`.
    pub(crate) async fn wait_until_stale(&self, topic: Topic, max_age: Duration, timer: &Timer) {
        while let Some(read) = self.mark(topic).trusted_read.get() {
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
    pub(crate) async fn wait_for_hint(&self, topic: Topic, position: Option<Position>) -> Hint {
        let mark = self.mark(topic);
        loop {
            // The channel can't close while `self` holds both ends.
            let _ = mark.receiver.recv().await;
            let suspect = mark.connection_suspect.take();
            let Some(position) = position else {
                continue;
            };
            if suspect {
                return Hint::SilentConnection;
            }
            if mark.position.get() > position || !mark.received.borrow().is_empty() {
                return Hint::Changes;
            }
        }
    }
}
