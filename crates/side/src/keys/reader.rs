//! Reading the service's stream, from its earliest kept record on.

use std::pin::pin;
use std::time::Duration;

use pumicecleat_infra::{
    BackoffOptions, FollowError, FollowEvent, FollowOptions, Follower, ReadError,
};
use pumicecleat_ledger::{Attempt, Event, Ledger, OffsetRange};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{LogRecord, Millis};

use super::part::Part;
use crate::state::wall_clock;

const BATCH: u32 = 1_000;
/// Time that the log may wait for a record: an outage shows no later.
const WAIT: Duration = Duration::from_secs(2);
/// Longest pause after failures: calls with keys are refused meanwhile.
const LONGEST: Duration = Duration::from_millis(500);
/// Longest time between two looks at what is due by the clock.
const TICK: Duration = Duration::from_secs(1);
/// Time until the next try to find the stream's span.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for own attempts to end before the ledger is made anew.
const PATIENCE: Millis = Millis(10_000);

fn options() -> FollowOptions {
    FollowOptions {
        pace: Duration::ZERO,
        batch: BATCH,
        wait: WAIT,
        backoff: BackoffOptions {
            max: LONGEST,
            ..BackoffOptions::default()
        },
        ..FollowOptions::default()
    }
}

impl Part {
    /// Follows the stream until the part is closed.
    pub(super) async fn follow(&self) {
        while let Some(span) = self.find_span().await {
            self.start_over(span);
            self.follow_from(span.first).await;
        }
    }

    /// Follows from `first` until the ledger must be made anew, or the part is closed.
    async fn follow_from(&self, first: u64) {
        let log = std::rc::Rc::clone(&self.state.log);
        let timer = &self.state.timer;
        let mut follower = Follower::new_ext(log, timer, &self.state.stream, first, options());
        while let Some(event) = self.next_event(&mut follower).await {
            match event {
                Ok(FollowEvent::Records(records)) => self.take(&records),
                Ok(FollowEvent::CaughtUp { .. }) => self.note_end(),
                Ok(FollowEvent::Unanswered) => {}
                Ok(FollowEvent::Outage { detail }) => self.note_down(&detail),
                Ok(FollowEvent::Trimmed { first, .. }) => {
                    self.skip_trimmed(first);
                    follower.seek(first);
                }
                Err(e) => return self.note_gap(&e),
            }
            self.expire();
        }
        self.state.outdated.set(None);
    }

    /// Next event of the stream, or `None` once it is not to be followed any more.
    ///
    /// The wait for it is never given up for a look at what is due: a read that is cut short each
    /// time would not show that the log is back.
    async fn next_event(
        &self,
        follower: &mut Follower,
    ) -> Option<Result<FollowEvent, FollowError>> {
        let mut next = pin!(follower.next());
        while !self.state.closed.get() && !self.is_due_anew() {
            match self.state.timer.within(TICK, next.as_mut()).await {
                Ok(event) => return Some(event),
                Err(_) => self.expire(),
            }
        }
        None
    }

    fn expire(&self) {
        let due = self.state.ledger.borrow_mut().expire_attempts(wall_clock());
        self.tell(due);
    }

    /// Whether to start over for other limits: once no own attempt is under way, whose outcome
    /// would be lost, or after a while all the same.
    fn is_due_anew(&self) -> bool {
        let Some(since) = self.state.outdated.get() else {
            return false;
        };
        self.is_settled() || self.state.timer.now().since(since) > PATIENCE
    }

    /// What the stream holds now; `None` once the part is closed.
    async fn find_span(&self) -> Option<OffsetRange> {
        let (log, stream) = (&self.state.log, &self.state.stream);
        while !self.state.closed.get() {
            match log.read(stream, 0, 1, Duration::ZERO).await {
                Ok(batch) => {
                    return Some(OffsetRange {
                        first: batch.first,
                        end: batch.next,
                    });
                }
                Err(ReadError::Trimmed { first, next, .. }) => {
                    return Some(OffsetRange { first, end: next });
                }
                Err(e) => self.note_down(&e.to_string()),
            }
            self.state.timer.sleep(PAUSE).await;
        }
        None
    }

    /// A fresh ledger decides from now on; attempts that wait are told what is certain of them.
    fn start_over(&self, span: OffsetRange) {
        let mut ledger = self.state.ledger.borrow_mut();
        let mut owner = ledger.owner().clone();
        // Numbers of attempts start over, so that they need a name of their own in the log.
        owner.incarnation += 1;
        *ledger = Ledger::new(owner, self.state.limits.get(), span);
        drop(ledger);
        // A dropped sender ends its attempt's wait, which finds the attempt closed.
        self.state.waiting.borrow_mut().clear();
    }

    /// What was trimmed unread can't be judged any more: attempts that wait are lost.
    fn skip_trimmed(&self, first: u64) {
        let fields = [
            field("stream", &self.state.stream),
            field("wanted", self.state.ledger.borrow().next_offset()),
            field("first", first),
        ];
        self.state.events.emit(&events::RECORDS_TRIMMED, &fields);
        let lost = self.state.ledger.borrow_mut().handle_trim(first);
        self.tell(lost);
    }

    fn note_gap(&self, error: &FollowError) {
        let fields = [field("step", "follow stream"), field("error", error)];
        self.state.events.emit(&events::INTERNAL, &fields);
    }

    fn note_down(&self, error: &str) {
        self.state.at_end.set(false);
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

    /// All of the stream is read.
    fn note_end(&self) {
        self.note_up();
        self.state.at_end.set(true);
    }

    fn take(&self, records: &[LogRecord]) {
        self.note_up();
        self.state.at_end.set(false);
        for record in records {
            let events = self.state.ledger.borrow_mut().apply(record);
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

    fn tell_attempt(&self, attempt: &Attempt, event: &Event) {
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
