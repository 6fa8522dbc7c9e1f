//! Follows one stream of the log from an offset, without skipping or repeating one.

mod check;
mod era;
mod event;
mod keyed;

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::Timer;
use pumicecleat_types::Millis;

use crate::backoff::{Backoff, as_millis};
use crate::{BackoffOptions, Batch, Log, ReadError};
use check::check_batch;
use era::Era;
use event::EraSnafu;
pub use event::{FollowError, FollowEvent};
pub use keyed::{KeyedEvent, KeyedFollower};

/// How a stream is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowOptions {
    /// Records of one read.
    pub batch: u32,
    /// Time that the log may wait for a record.
    pub wait: Duration,
    /// Time beyond `wait` after which an unanswered read is retried on another connection; `None` for
    /// the timeout of the log's client.
    pub answer_timeout: Option<Duration>,
    /// Least time between the starts of two reads that give records: a stream that never rests is
    /// read in batches.
    pub pace: Duration,
    /// Pauses after failures.
    pub backoff: BackoffOptions,
}

impl Default for FollowOptions {
    fn default() -> Self {
        Self {
            batch: 256,
            wait: Duration::from_secs(10),
            answer_timeout: None,
            pace: Duration::ZERO,
            backoff: BackoffOptions::default(),
        }
    }
}

/// Outcome of the last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastRead {
    Answered,
    /// It timed out without an answer; the next read is its retry.
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
    /// Offset wanted next.
    next: u64,
    /// No read before this.
    resume: Option<Millis>,
    /// Caller knows that it has all records.
    caught: bool,
    /// The last answer reached the end, by the log's own word.
    end: bool,
    last_read: LastRead,
    /// Start of the last read that was answered.
    last_read_start: Millis,
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
            resume: None,
            caught: false,
            end: true,
            last_read: LastRead::Answered,
            last_read_start: timer.now(),
            era: Era::default(),
        }
    }

    /// Offset of the next record to be given.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.next
    }

    /// Whether the last answer reached the end.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.end
    }

    /// Start of the last read that was answered: all that there was then is known at its end.
    #[must_use]
    pub fn last_read_start(&self) -> Millis {
        self.last_read_start
    }

    /// Sets the time that the log may wait for a record; applies from the next read.
    pub fn set_wait(&mut self, wait: Duration) {
        self.options.wait = wait;
    }

    /// The caller needs no word that it has all records once it has the last one: the next read may
    /// wait at once if that is so, which saves a read for each change.
    pub fn skip_caught_up(&mut self) {
        self.caught |= self.end;
    }

    /// Reads at once and without a wait when asked next: there is more than this follower knows.
    /// Drop a call of [`next`](Self::next) that is under way. After a failure the pause stays.
    pub fn read_now(&mut self) {
        if self.last_read != LastRead::Failed {
            self.resume = None;
        }
        self.caught = false;
        self.end = false;
    }

    /// Goes on from `offset`, after trimming or from a snapshot.
    pub fn seek(&mut self, offset: u64) {
        self.next = offset;
        self.resume = None;
        self.caught = false;
        self.end = false;
    }

    /// Next event. May be dropped at any time and asked for again; nothing is lost by it.
    ///
    /// # Errors
    /// [`FollowError`] if the log contradicts itself. The next call reads again, after a pause.
    pub async fn next(&mut self) -> Result<FollowEvent, FollowError> {
        loop {
            if let Some(resume) = self.resume {
                self.timer.sleep_until(resume).await;
                self.resume = None;
            }
            let start = self.timer.now();
            let (batch, wait) = (self.options.batch, self.wait());
            let read = self.log.read(&self.stream, self.next, batch, wait);
            let read = match self.read_timeout(wait) {
                Some(timeout) => self.timer.within(timeout, read).await,
                None => Ok(read.await),
            };
            let Ok(read) = read else {
                self.last_read = LastRead::Unanswered;
                self.caught = false;
                return Ok(FollowEvent::Unanswered);
            };
            let event = match read {
                Ok(batch) => self.take(batch, start)?,
                Err(ReadError::Trimmed { first, next, .. }) => Some(self.trimmed(first, next)),
                Err(e) => self.fail(&e),
            };
            if let Some(event) = event {
                return Ok(event);
            }
        }
    }

    /// Time that the log may wait for a record: none before the end is known, so that a caller with
    /// less patience than that hears of it even if no record comes.
    fn wait(&self) -> Duration {
        if self.caught {
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

    fn take(&mut self, batch: Batch, start: Millis) -> Result<Option<FollowEvent>, FollowError> {
        self.check_era(batch.era)?;
        let checked = check_batch(&self.stream, self.next, &batch);
        if checked.is_err() {
            self.pause(None);
        }
        checked?;
        self.last_read = LastRead::Answered;
        self.last_read_start = start;
        if !batch.records.is_empty() {
            self.backoff.reset();
            self.caught = false;
            self.next += batch.records.len() as u64;
            self.end = batch.next == self.next;
            self.resume = Some(start + as_millis(self.options.pace));
            return Ok(Some(FollowEvent::Records(batch.records)));
        }
        if batch.next > self.next {
            // The log holds records and gave none: it must not be asked in a hurry.
            self.pause(None);
            return Ok(None);
        }
        self.backoff.reset();
        self.end = true;
        // A log that does not wait by itself must not be asked in a hurry either.
        self.resume = Some(start + as_millis(self.options.backoff.first));
        let known = std::mem::replace(&mut self.caught, true);
        let next = self.next;
        Ok((!known).then_some(FollowEvent::CaughtUp { next }))
    }

    /// Notes the era of an answer. One that is missing or falls tells nothing.
    fn check_era(&mut self, told: Option<u64>) -> Result<(), FollowError> {
        let (Some(known), Some(found)) = (self.era.note(told), told) else {
            return Ok(());
        };
        EraSnafu {
            stream: &self.stream,
            known,
            found,
        }
        .fail()
    }

    fn trimmed(&mut self, first: u64, next: u64) -> FollowEvent {
        self.last_read = LastRead::Answered;
        self.caught = false;
        // A caller that asks again without a seek gets the same; it must not do so in a hurry.
        self.pause(None);
        FollowEvent::Trimmed { first, next }
    }

    fn fail(&mut self, error: &ReadError) -> Option<FollowEvent> {
        self.pause(error.retry_after());
        self.caught = false;
        let known = std::mem::replace(&mut self.last_read, LastRead::Failed) == LastRead::Failed;
        let detail = error.to_string();
        (!known).then_some(FollowEvent::Outage { detail })
    }

    fn pause(&mut self, asked: Option<Duration>) {
        let pause = self.backoff.next_pause(asked);
        self.resume = Some(self.timer.now() + as_millis(pause));
    }
}
