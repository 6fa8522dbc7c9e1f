//! How far the streams are known to reach, by this process and by others.
//!
//! Processes tell each other the place behind the last record that changed something. One that hears
//! of a later place than it has read to reads at once, so that a long wait of the log for a record,
//! or a connection that fell silent, delays nobody as long as one process got the record. What a record
//! says comes from the log alone.
//!
//! The list of upstreams never rests, as each of them writes there every second or so, and most of what
//! it says is nothing new. So processes also tell how long ago one of them had read it to its end: one
//! that knows all that had changed by then needs no read of its own, and few read for all. Such word takes
//! its time on the way and goes round, so a read is known by the end that it found, and
//! counts from the earliest time that anybody's word gives it.

use std::cell::Cell;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use pumicecleat_infra::as_millis;
use pumicecleat_net::Timer;
use pumicecleat_types::{Millis, Position, StreamMarks};

use crate::Topic;
use crate::availability::Answers;
use crate::complete_read::Listed;

/// How far the streams are known to reach; of none at first.
#[derive(Debug, Default)]
pub struct Marks {
    operators: Mark,
    upstreams: Mark,
    /// Latest read of the list to its end that this process knows to have told nothing new.
    listed: Cell<Option<Listed>>,
    /// Latest read of the list, by any process, whose results this process knows in full.
    list_as_of: Cell<Option<Listed>>,
    /// Place up to which this process has read the list.
    read: Cell<Position>,
    /// Since when the list answers.
    answers: Cell<Option<Answers>>,
    /// Latest era of the log that another process told of, and when it first did.
    era: Cell<Option<(u64, Millis)>>,
    /// Time for which processes rest between two reads of the list at most.
    rest: Millis,
}

#[derive(Debug)]
struct Mark {
    position: Cell<Position>,
    /// A wait for a record may be one on a silent connection.
    doubt: Cell<bool>,
    /// Holds a token while there may be more to read than was read.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Mark {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            position: Cell::default(),
            doubt: Cell::new(false),
            sender,
            receiver,
        }
    }
}

impl Mark {
    fn ring(&self) {
        // A full channel holds a token already.
        let _ = self.sender.try_send(());
    }

    fn raise(&self, position: Position) -> bool {
        let more = position > self.position.get();
        if more {
            self.position.set(position);
        }
        more
    }
}

impl Marks {
    /// Marks of a process among others that rest between two reads of the list for `rest` at most.
    #[must_use]
    pub fn new_ext(rest: Duration) -> Self {
        Self {
            rest: as_millis(rest),
            ..Self::default()
        }
    }

    fn of(&self, topic: Topic) -> &Mark {
        match topic {
            Topic::Operators => &self.operators,
            Topic::Upstreams => &self.upstreams,
        }
    }

    /// What other processes are to be told.
    #[must_use]
    pub fn to_message(&self, now: Millis) -> StreamMarks {
        StreamMarks {
            operators: self.operators.position.get(),
            upstreams: self.upstreams.position.get(),
            listed: self.listed.get().map(|listed| listed.told(now)),
        }
    }

    /// Another process knows this much.
    pub fn merge(&self, marks: &StreamMarks, now: Millis) {
        let read = marks.listed.map(|read| read.end).unwrap_or_default();
        let latest = read.max(marks.operators).max(marks.upstreams);
        self.note_era(latest.era, now);
        if self.operators.raise(marks.operators) {
            self.operators.ring();
        }
        if self.upstreams.raise(marks.upstreams) {
            self.upstreams.ring();
        }
        let listed = marks.listed.and_then(|read| Listed::heard(read, now));
        if let Some(listed) = listed {
            self.note_answer(listed, true);
            self.note_listed(listed);
        }
    }

    fn note_era(&self, era: u64, now: Millis) {
        if self.era.get().is_none_or(|(known, _)| known < era) {
            self.era.set(Some((era, now)));
        }
    }

    /// When the log came to `era`, which this process has found by itself at `now`: others may have told of
    /// it long before, while this process could not reach the log.
    pub(crate) fn era_began(&self, era: u64, now: Millis) -> Millis {
        let told = self.era.get().filter(|(known, _)| *known == era);
        told.map_or(now, |(_, at)| at)
    }

    /// This process had read the list to its end at `at`, up to `end`.
    pub(crate) fn listed(&self, end: Position, at: Millis) {
        let read = Listed { end, at };
        self.read.set(end);
        self.note_as_of(read);
        self.note_answer(read, false);
        let later = self.listed.get().is_some_and(|known| known.end > end);
        if self.knows_all() && !later {
            self.listed.set(Some(read));
        }
    }

    /// Since when the list has answered without a pause, if others read it after `down`, when this process
    /// could not.
    pub(crate) fn answers_since(&self, down: Millis, now: Millis) -> Option<Millis> {
        self.answers.get()?.since(down, now, self.rest)
    }

    fn note_answer(&self, read: Listed, other: bool) {
        let mut answers = self.answers.get().unwrap_or(Answers::new(read, other));
        answers.note(read, other, self.rest);
        self.answers.set(Some(answers));
    }

    /// Another process had read the list to its end. Holds for this process only if it knows all that
    /// had changed by then. A process that does not read the list passes the word on.
    fn note_listed(&self, heard: Listed) {
        let reads = self.read.get() > Position::default();
        if reads && !self.knows_all() {
            return;
        }
        let listed = self.listed.get().map_or(heard, |known| known.join(heard));
        self.listed.set(Some(listed));
        if reads {
            self.note_as_of(heard);
        }
    }

    /// Time since the start of the latest read of the list, by any process, whose results this process
    /// knows in full; `None` before this process has first read the list to its end.
    #[must_use]
    pub fn list_age(&self, now: Millis) -> Option<Millis> {
        self.list_as_of.get().map(|read| now.since(read.at))
    }

    fn note_as_of(&self, read: Listed) {
        let known = self.list_as_of.get();
        let latest = known.map_or(read, |known| known.join(read));
        self.list_as_of.set(Some(latest));
    }

    fn knows_all(&self) -> bool {
        self.upstreams.position.get() <= self.read.get()
    }

    /// There is more in the list than this process knows.
    pub(crate) fn doubt_list(&self) {
        self.listed.set(None);
    }

    /// Waits until the list as this process knows it is older than `span`.
    pub(crate) async fn unlisted(&self, span: Duration, timer: &Timer) {
        while let Some(listed) = self.listed.get() {
            let due = listed.at + as_millis(span);
            if timer.now() >= due {
                return;
            }
            timer.sleep_until(due).await;
        }
    }

    /// This process has read to `position`, and something changed by it.
    pub(crate) fn reached(&self, topic: Topic, position: Position) {
        self.of(topic).raise(position);
    }

    /// The log did not answer on `topic`: a wait on another may be one on a connection that fell
    /// silent with it.
    pub(crate) fn doubt(&self, topic: Topic) {
        let other = match topic {
            Topic::Operators => &self.upstreams,
            Topic::Upstreams => &self.operators,
        };
        other.doubt.set(true);
        other.ring();
    }

    /// Waits until a read of `topic` that began at `position` is worth giving up for a new one.
    pub(crate) async fn beyond(&self, topic: Topic, position: Option<Position>) {
        let mark = self.of(topic);
        loop {
            // It can't be closed while `self` holds both ends.
            let _ = mark.receiver.recv().await;
            let doubt = mark.doubt.take();
            if position.is_some_and(|at| doubt || mark.position.get() > at) {
                return;
            }
        }
    }
}
