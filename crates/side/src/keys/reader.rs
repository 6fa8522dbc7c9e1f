//! Reading the service's stream, from its earliest kept record on.

use std::time::Duration;

use pumicecleat_ledger::{Event, Ledger, Span};
use pumicecleat_ops::{events, field};
use pumicecleat_platform::{Batch, ReadError};
use pumicecleat_types::{LogRecord, Millis};

use super::Keys;
use crate::state::wall_clock;

const BATCH: u32 = 1_000;
const WAIT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for own attempts to end before the ledger is made anew.
const PATIENCE: Millis = Millis(10_000);

impl Keys {
    /// Follows the stream; never ends.
    pub(super) async fn follow(&self) {
        self.begin().await;
        loop {
            if self.is_due_anew() {
                self.state.outdated.set(None);
                self.begin().await;
            }
            let next = self.state.ledger.borrow().next();
            match self.read_from(next, WAIT).await {
                Ok(batch) => self.take(&batch.records),
                Err(ReadError::Trimmed { first, next, .. }) => self.restart(first, next),
                Err(_) => self.state.timer.sleep(PAUSE).await,
            }
            let due = self.state.ledger.borrow_mut().expire(wall_clock());
            self.tell(due);
        }
    }

    /// Whether to start over for other limits: once no own attempt is under way, whose outcome
    /// would be lost, or after a while all the same.
    fn is_due_anew(&self) -> bool {
        let Some(since) = self.state.outdated.get() else {
            return false;
        };
        let dump = self.state.ledger.borrow().dump();
        let idle = dump.own.is_empty() && dump.owed == 0;
        idle || self.state.timer.now().since(since) > PATIENCE
    }

    /// Finds what the stream holds at this side's start.
    async fn begin(&self) {
        loop {
            match self.read_from(0, Duration::ZERO).await {
                Ok(batch) => return self.restart(batch.first, batch.next),
                Err(ReadError::Trimmed { first, next, .. }) => return self.restart(first, next),
                Err(_) => self.state.timer.sleep(PAUSE).await,
            }
        }
    }

    /// Starts over at `first`: what was trimmed unread can't be judged any more, so that every
    /// attempt that waits is told as not run and a fresh ledger decides.
    fn restart(&self, first: u64, end: u64) {
        let mut ledger = self.state.ledger.borrow_mut();
        let mut owner = ledger.dump().owner;
        // Numbers of attempts start over, so that they need a name of their own in the log.
        owner.incarnation += 1;
        *ledger = Ledger::new(owner, self.state.limits.get(), Span { first, end });
        drop(ledger);
        // A dropped sender ends its attempt's wait, which finds the attempt closed.
        self.state.waiting.borrow_mut().clear();
        self.state.outbox.borrow_mut().clear();
    }

    async fn read_from(&self, from: u64, wait: Duration) -> Result<Batch, ReadError> {
        let read = self
            .state
            .log
            .read(&self.state.stream, from, BATCH, wait)
            .await;
        match &read {
            Err(e @ ReadError::Failed { .. }) => self.note_down(e),
            Ok(_) | Err(ReadError::Trimmed { .. }) => self.note_up(),
        }
        read
    }

    fn note_down(&self, error: &ReadError) {
        if self.state.up.replace(false) {
            let fields = [
                field("address", &self.state.stream),
                field("step", "read"),
                field("error", error),
            ];
            self.state.events.emit(&events::LOG_DOWN, &fields);
        }
    }

    fn note_up(&self) {
        if !self.state.up.replace(true) {
            let fields = [field("address", &self.state.stream)];
            self.state.events.emit(&events::LOG_UP, &fields);
        }
    }

    fn take(&self, records: &[LogRecord]) {
        for record in records {
            let events = self.state.ledger.borrow_mut().read(record);
            self.tell(events);
        }
        // What is owed may have become due, or have been read back.
        self.wake();
    }

    fn tell(&self, events: Vec<Event>) {
        for event in events {
            match &event {
                Event::Won(won) => self.tell_attempt(won.attempt(), &event),
                Event::Lost { attempt, .. } => self.tell_attempt(attempt, &event),
                Event::Unreadable { offset, bytes } => self.note_unreadable(*offset, *bytes),
            }
        }
    }

    fn tell_attempt(&self, attempt: &pumicecleat_ledger::Attempt, event: &Event) {
        let waiting = self.state.waiting.borrow_mut().remove(attempt);
        if let Some(sender) = waiting {
            // Its claim may have been given up; the attempt is void then and stays unsent.
            let _ = sender.try_send(event.clone());
        }
    }

    fn note_unreadable(&self, offset: u64, bytes: usize) {
        let error = format!("{bytes} bytes are no record of this stream");
        let fields = [field("offset", offset), field("error", &error)];
        self.state.events.emit(&events::RECORD_BAD, &fields);
    }
}
