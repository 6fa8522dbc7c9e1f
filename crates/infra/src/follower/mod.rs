//! Follows one stream of the log from an offset, without skipping or repeating records.

mod check;
mod era;
mod event;
mod keyed;

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::Timer;
use pumicecleat_types::{BootTime, Millis};

use crate::backoff::{Backoff, as_millis};
use crate::{BackoffOptions, Batch, Log, ReadError};
use check::check_batch;
use era::Era;
use event::EraSnafu;
pub use event::{FollowError, FollowEvent};
pub use keyed::{KeyedEvent, KeyedFollower};

/// Options of a [`Follower`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowOptions {
    /// Maximum number of records in one read.
    pub batch: u32,
    /// Maximum time that the log waits for a record before it responds.
    pub wait: Duration,
    /// Time beyond `wait` after which an unanswered read is retried on another connection; `None` for
    /// the timeout of the log's client.
    pub answer_timeout: Option<Duration>,
    /// Minimum time between the starts of two reads that return records, so that a busy stream is read
    /// in batches.
    pub pace: Duration,
    /// Whether each read that finds no record is reported, not only the first.
    pub report_idle: bool,
    /// Backoff after failures.
    pub backoff: BackoffOptions,
}

impl Default for FollowOptions {
    fn default() -> Self {
        Self {
            batch: 256,
            wait: Duration::from_secs(10),
            answer_timeout: None,
            pace: Duration::ZERO,
            report_idle: false,
            backoff: BackoffOptions::default(),
        }
    }
}

/// Start of a read, on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadStart {
    /// Time of the timer service.
    pub at: Millis,
    /// Time that also counts suspensions of the VM.
    pub boot: BootTime,
}

impl ReadStart {
    /// Start of a read that begins now.
    #[must_use]
    pub fn now(timer: &Timer) -> Self {
        Self {
            at: timer.now(),
            boot: timer.boot_now(),
        }
    }
}

/// Outcome of the last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastRead {
    Answered,
    /// It timed out without a response; the next read is its retry.
    Unanswered,
    /// It failed, and the outage was reported to the caller.
    Failed,
}

/// Follower of one stream.
pub struct Follower {
    log: Rc<dyn Log>,
    timer: Timer,
    stream: String,
    options: FollowOptions,
    backoff: Backoff,
    /// Next offset to read.
    next: u64,
    /// Earliest time of the next read.
    next_read_at: Option<Millis>,
    /// Whether the caller knows that it has all records.
    caught_up: bool,
    /// Whether the last response reached the end of the stream, as reported by the log.
    at_end: bool,
    last_read: LastRead,
    /// Start time of the last read that got a response.
    last_read_start: ReadStart,
    era: Era,
}

impl Follower {
    /// Follower of `stream` from offset `from`.
    #[must_use]
    pub fn new_ext(
        log: Rc<dyn Log>,
        timer: &Timer,
        stream: &str,
        from: u64,
        options: FollowOptions,
    ) -> Self {
        Self {
            log,
            timer: timer.clone(),
            stream: stream.to_owned(),
            options,
            backoff: Backoff::new(options.backoff),
            next: from,
            next_read_at: None,
            caught_up: false,
            at_end: true,
            last_read: LastRead::Answered,
            last_read_start: ReadStart::now(timer),
            era: Era::default(),
        }
    }

    /// Offset of the next record to return.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.next
    }

    /// Whether the last response reached the end of the stream.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.at_end
    }

    /// Start time of the last read that got a response. If that response reached the end, all records
    /// that existed at this time are known.
    #[must_use]
    pub fn last_read_start(&self) -> ReadStart {
        self.last_read_start
    }

    /// Sets the time that the log may wait for a record; applies from the next read.
    pub fn set_wait(&mut self, wait: Duration) {
        self.options.wait = wait;
    }

    /// Skips the `CaughtUp` event if the last response reached the end: the next read may then wait for
    /// a record immediately, which saves a read for each change.
    pub fn skip_caught_up(&mut self) {
        self.caught_up |= self.at_end;
    }

    /// Makes the next read start immediately and not wait for a record; for callers that know of newer
    /// records. Cancel a pending call of [`next`](Self::next) first. The delay after a failure still
    /// applies.
    pub fn read_now(&mut self) {
        if self.last_read != LastRead::Failed {
            self.next_read_at = None;
        }
        self.caught_up = false;
        self.at_end = false;
    }

    /// Continues from `offset`, after trimming or from a snapshot.
    pub fn seek(&mut self, offset: u64) {
        self.next = offset;
        self.next_read_at = None;
        self.caught_up = false;
        self.at_end = false;
    }

    /// Continues from `offset`. Other than after [`seek`](Self::seek), the next read may wait for a record, and the
    /// delay after a failure still applies.
    pub(super) fn skip_to(&mut self, offset: u64) {
        self.next = offset;
        self.at_end = true;
        self.caught_up = true;
    }

    /// Returns the next event. Cancel safe: dropping the future loses no event.
    ///
    /// # Errors
    /// [`FollowError`] if responses of the log are inconsistent. The next call reads again, after a
    /// delay unless the error is a new era.
    pub async fn next(&mut self) -> Result<FollowEvent, FollowError> {
        loop {
            if let Some(next_read_at) = self.next_read_at {
                self.timer.sleep_until(next_read_at).await;
                self.next_read_at = None;
            }
            let start = ReadStart::now(&self.timer);
            let (batch, wait) = (self.options.batch, self.read_wait());
            let read = self.log.read(&self.stream, self.next, batch, wait);
            let read = match self.read_timeout(wait) {
                Some(timeout) => self.timer.within(timeout, read).await,
                None => Ok(read.await),
            };
            let Ok(read) = read else {
                self.last_read = LastRead::Unanswered;
                self.caught_up = false;
                return Ok(FollowEvent::Unanswered);
            };
            let event = match read {
                Ok(batch) => self.handle_batch(batch, start)?,
                Err(ReadError::Trimmed { first, next, .. }) => Some(self.handle_trim(first, next)),
                Err(e) => self.handle_error(&e),
            };
            if let Some(event) = event {
                return Ok(event);
            }
        }
    }

    /// Time that the log may wait for a record: zero until the end is known, so that a caller with a
    /// shorter timeout gets the `CaughtUp` event even if no record arrives.
    fn read_wait(&self) -> Duration {
        if self.caught_up {
            self.options.wait
        } else {
            Duration::ZERO
        }
    }

    /// Timeout of a read that may wait for `wait`; `None` for that of the log's client. Retries and reads
    /// during an outage use the latter, so that a slow log can still be read.
    fn read_timeout(&self, wait: Duration) -> Option<Duration> {
        let answer_timeout = self.options.answer_timeout?;
        (self.last_read == LastRead::Answered).then_some(wait + answer_timeout)
    }

    fn handle_batch(
        &mut self,
        batch: Batch,
        start: ReadStart,
    ) -> Result<Option<FollowEvent>, FollowError> {
        self.check_era(batch.era)?;
        let checked = check_batch(&self.stream, self.next, &batch);
        if checked.is_err() {
            self.delay_next_read(None);
        }
        checked?;
        self.last_read = LastRead::Answered;
        self.last_read_start = start;
        if !batch.records.is_empty() {
            self.backoff.reset();
            self.caught_up = false;
            self.next += batch.records.len() as u64;
            self.at_end = batch.next == self.next;
            self.next_read_at = Some(start.at + as_millis(self.options.pace));
            return Ok(Some(FollowEvent::Records(batch.records)));
        }
        if batch.next > self.next {
            // The log has records but returned none; back off to avoid a busy loop.
            self.delay_next_read(None);
            return Ok(None);
        }
        self.backoff.reset();
        self.at_end = true;
        // Avoids a busy loop if the log does not wait for records.
        self.next_read_at = Some(start.at + as_millis(self.options.backoff.first));
        let known = std::mem::replace(&mut self.caught_up, true);
        let next = self.next;
        let is_news = !known || self.options.report_idle;
        Ok(is_news.then_some(FollowEvent::CaughtUp { next }))
    }

    /// Fails if the era of a response is later than the known one. A missing or earlier one is no error.
    fn check_era(&mut self, received: Option<u64>) -> Result<(), FollowError> {
        let (Some(known), Some(found)) = (self.era.update(received), received) else {
            return Ok(());
        };
        EraSnafu {
            stream: &self.stream,
            known,
            found,
        }
        .fail()
    }

    fn handle_trim(&mut self, first: u64, next: u64) -> FollowEvent {
        self.last_read = LastRead::Answered;
        self.caught_up = false;
        // A caller that reads again without a seek gets the same event; back off to avoid a busy loop.
        self.delay_next_read(None);
        FollowEvent::Trimmed { first, next }
    }

    fn handle_error(&mut self, error: &ReadError) -> Option<FollowEvent> {
        self.delay_next_read(error.retry_after());
        self.caught_up = false;
        let known = std::mem::replace(&mut self.last_read, LastRead::Failed) == LastRead::Failed;
        let detail = error.to_string();
        (!known).then_some(FollowEvent::Outage { detail })
    }

    fn delay_next_read(&mut self, requested: Option<Duration>) {
        let delay = self.backoff.next_delay(requested);
        self.next_read_at = Some(self.timer.now() + as_millis(delay));
    }
}
