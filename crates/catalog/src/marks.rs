//! How far the streams are known to reach, by this process and by others.
//!
//! Processes tell each other the offset behind the last record that changed something. One that hears
//! of a later offset than it has read to reads at once, so that a long wait of the log for a record,
//! or a connection that fell silent, delays nobody as long as one process got the record. What a record
//! says comes from the log alone.
//!
//! The list of upstreams never rests, as each of them writes there every second or so, and most of what
//! it says is nothing new. So processes also tell how long ago one of them had read it to its end: one
//! that knows all that had changed by then needs no read of its own, and few read for all.

use std::cell::Cell;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use pumicecleat_infra::as_millis;
use pumicecleat_net::Timer;
use pumicecleat_types::{Millis, StreamMarks};

use crate::Topic;

/// How far the streams are known to reach; of none at first.
#[derive(Debug, Default)]
pub struct Marks {
    operators: Mark,
    upstreams: Mark,
    /// Latest time at which the list, as this process knows it, is known to have been whole.
    listed: Cell<Option<Millis>>,
    /// Offset up to which this process has read the list.
    read: Cell<u64>,
}

#[derive(Debug)]
struct Mark {
    offset: Cell<u64>,
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
            offset: Cell::new(0),
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

    fn raise(&self, offset: u64) -> bool {
        let more = offset > self.offset.get();
        if more {
            self.offset.set(offset);
        }
        more
    }
}

impl Marks {
    fn of(&self, topic: Topic) -> &Mark {
        match topic {
            Topic::Operators => &self.operators,
            Topic::Upstreams => &self.upstreams,
        }
    }

    /// What other processes are to be told.
    #[must_use]
    pub fn known(&self, now: Millis) -> StreamMarks {
        StreamMarks {
            operators: self.operators.offset.get(),
            upstreams: self.upstreams.offset.get(),
            listed_ms: self.listed.get().map(|at| now.since(at).0),
        }
    }

    /// Another process knows this much.
    pub fn hear(&self, marks: &StreamMarks, now: Millis) {
        if self.operators.raise(marks.operators) {
            self.operators.ring();
        }
        if self.upstreams.raise(marks.upstreams) {
            self.upstreams.ring();
        }
        if let Some(age) = marks.listed_ms {
            self.note_listed(now - Millis(age));
        }
    }

    /// This process had read the list to its end at `at`, up to `offset`.
    pub(crate) fn listed(&self, offset: u64, at: Millis) {
        self.read.set(offset);
        self.note_listed(at);
    }

    /// The list was read to its end at `at`. Holds for this process only if it knows all that had
    /// changed by then. A process that does not read the list passes the word on.
    fn note_listed(&self, at: Millis) {
        let reads = self.read.get() > 0;
        let knows_all = self.upstreams.offset.get() <= self.read.get();
        if !reads || knows_all {
            self.listed.set(self.listed.get().max(Some(at)));
        }
    }

    /// There is more in the list than this process knows.
    pub(crate) fn doubt_list(&self) {
        self.listed.set(None);
    }

    /// Waits until the list as this process knows it is older than `span`.
    pub(crate) async fn unlisted(&self, span: Duration, timer: &Timer) {
        while let Some(at) = self.listed.get() {
            let due = at + as_millis(span);
            if timer.now() >= due {
                return;
            }
            timer.sleep_until(due).await;
        }
    }

    /// This process has read to `offset`, and something changed by it.
    pub(crate) fn reached(&self, topic: Topic, offset: u64) {
        self.of(topic).raise(offset);
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

    /// Waits until a read of `topic` that began at `offset` is worth giving up for a new one.
    pub(crate) async fn beyond(&self, topic: Topic, offset: Option<u64>) {
        let mark = self.of(topic);
        loop {
            // It can't be closed while `self` holds both ends.
            let _ = mark.receiver.recv().await;
            let doubt = mark.doubt.take();
            if offset.is_some_and(|at| doubt || mark.offset.get() > at) {
                return;
            }
        }
    }
}
