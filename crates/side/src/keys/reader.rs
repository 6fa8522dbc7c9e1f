//! Reads the part's stream from its earliest kept record on.

use std::pin::pin;
use std::time::Duration;

use pumicecleat_infra::{
    BackoffOptions, FollowError, FollowEvent, FollowOptions, Follower, ReadError,
};
use pumicecleat_ledger::{Attempt, Event, Ledger, OffsetRange};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{LogRecord, Millis};

use super::part::Part;
use crate::state::unix_time;

const READ_BATCH: u32 = 1_000;
/// Longest time that the log may hold a read open until a record comes. It bounds the time until an
/// outage is noticed.
const LONG_POLL: Duration = Duration::from_secs(2);
/// Longest delay before a retry after failures. Calls with keys are refused in the meantime.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time between two checks for attempts whose deadline has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the next attempt to find the stream's span.
const SPAN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for own attempts to end before the ledger is reset.
const MAX_RESET_DELAY: Millis = Millis(10_000);

fn follow_options() -> FollowOptions {
    FollowOptions {
        pace: Duration::ZERO,
        batch: READ_BATCH,
        wait: LONG_POLL,
        backoff: BackoffOptions {
            max: MAX_BACKOFF,
            ..BackoffOptions::default()
        },
        ..FollowOptions::default()
    }
}

impl Part {
    /// Follows the stream until the part is closed.
    pub(super) async fn follow_stream(&self) {
        while let Some(span) = self.find_span().await {
            self.reset_ledger(span);
            self.follow_from(span.first).await;
        }
    }

    /// Follows the stream from `first` until the ledger must be reset, or the part is closed.
    async fn follow_from(&self, first: u64) {
        let log = std::rc::Rc::clone(&self.state.log);
        let timer = &self.state.timer;
        let mut follower =
            Follower::new_ext(log, timer, &self.state.stream, first, follow_options());
        while let Some(event) = self.next_event(&mut follower).await {
            match event {
                Ok(FollowEvent::Records(records)) => self.apply_records(&records),
                Ok(FollowEvent::CaughtUp { .. }) => self.mark_at_end(),
                Ok(FollowEvent::Unanswered) => {}
                Ok(FollowEvent::Outage { detail }) => self.mark_log_down(&detail),
                Ok(FollowEvent::Trimmed { first, .. }) => {
                    self.skip_trimmed(first);
                    follower.seek(first);
                }
                Err(e) => return self.log_follow_error(&e),
            }
            self.expire_attempts();
        }
        self.state.limits_changed_at.set(None);
    }

    /// Next event of the stream, or `None` if the ledger must be reset or the part is closed.
    ///
    /// A pending read is not cancelled to check for expired attempts: if each read were cut short,
    /// none would show that the log is back.
    async fn next_event(
        &self,
        follower: &mut Follower,
    ) -> Option<Result<FollowEvent, FollowError>> {
        let mut next = pin!(follower.next());
        while !self.state.closed.get() && !self.needs_reset() {
            match self
                .state
                .timer
                .within(EXPIRY_INTERVAL, next.as_mut())
                .await
            {
                Ok(event) => return Some(event),
                Err(_) => self.expire_attempts(),
            }
        }
        None
    }

    fn expire_attempts(&self) {
        let expired = self.state.ledger.borrow_mut().expire_attempts(unix_time());
        self.handle_events(expired);
    }

    /// Whether the ledger must be reset for changed limits. That waits until no own attempt is in
    /// progress, as its outcome would be lost, but not longer than [`MAX_RESET_DELAY`].
    fn needs_reset(&self) -> bool {
        let Some(since) = self.state.limits_changed_at.get() else {
            return false;
        };
        self.is_settled() || self.state.timer.now().since(since) > MAX_RESET_DELAY
    }

    /// Span of the stream's records, or `None` once the part is closed.
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
                Err(e) => self.mark_log_down(&e.to_string()),
            }
            self.state.timer.sleep(SPAN_RETRY_DELAY).await;
        }
        None
    }

    /// Replaces the ledger with a new one. Waiting claims end with what is known of their attempts.
    fn reset_ledger(&self, span: OffsetRange) {
        let mut ledger = self.state.ledger.borrow_mut();
        let mut owner = ledger.owner().clone();
        // Attempt numbers start over in the new ledger, so they need another owner name in the log.
        owner.incarnation += 1;
        *ledger = Ledger::new(owner, self.state.limits.get(), span);
        drop(ledger);
        // A dropped sender ends the wait of its claim, which then finds the attempt closed.
        self.state.waiting.borrow_mut().clear();
    }

    /// Skips records that were trimmed before they were read. They may have decided the waiting
    /// attempts, which are lost.
    fn skip_trimmed(&self, first: u64) {
        let fields = [
            field("stream", &self.state.stream),
            field("wanted", self.state.ledger.borrow().next_offset()),
            field("first", first),
        ];
        self.state.events.emit(&events::RECORDS_TRIMMED, &fields);
        let lost = self.state.ledger.borrow_mut().handle_trim(first);
        self.handle_events(lost);
    }

    fn log_follow_error(&self, error: &FollowError) {
        let fields = [field("step", "follow stream"), field("error", error)];
        self.state.events.emit(&events::INTERNAL, &fields);
    }

    fn mark_log_down(&self, error: &str) {
        self.state.at_end.set(false);
        if self.state.log_up.replace(false) {
            let fields = [
                field("address", &self.state.stream),
                field("step", "read"),
                field("error", error),
            ];
            self.state.events.emit(&events::LOG_DOWN, &fields);
        }
    }

    fn mark_log_up(&self) {
        if !self.state.log_up.replace(true) {
            let fields = [field("address", &self.state.stream)];
            self.state.events.emit(&events::LOG_UP, &fields);
        }
    }

    /// The stream has been read to its end.
    fn mark_at_end(&self) {
        self.mark_log_up();
        self.state.at_end.set(true);
    }

    fn apply_records(&self, records: &[LogRecord]) {
        self.mark_log_up();
        self.state.at_end.set(false);
        for record in records {
            let events = self.state.ledger.borrow_mut().apply(record);
            self.handle_events(events);
        }
        // More records may be owed now, or owed ones may have been read back.
        self.wake_writer();
    }

    fn handle_events(&self, events: Vec<Event>) {
        for event in events {
            match &event {
                Event::Won(won) => self.deliver_event(won.attempt(), &event),
                Event::Lost { attempt, .. } => self.deliver_event(attempt, &event),
                Event::Unreadable { offset, bytes } => self.log_unreadable(*offset, *bytes),
            }
        }
    }

    fn deliver_event(&self, attempt: &Attempt, event: &Event) {
        let waiting = self.state.waiting.borrow_mut().remove(attempt);
        if let Some(sender) = waiting {
            // The claim may have timed out; the attempt is void then and is never sent.
            let _ = sender.try_send(event.clone());
        }
    }

    fn log_unreadable(&self, offset: u64, bytes: usize) {
        let error = format!("{bytes} bytes are not a record of this stream");
        let fields = [field("offset", offset), field("error", &error)];
        self.state.events.emit(&events::RECORD_BAD, &fields);
    }
}
