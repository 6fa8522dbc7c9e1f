//! Follows a keyed stream: reports the whole state first, then each change, and the state again
//! after a gap.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use pumicecleat_net::Timer;
use pumicecleat_types::{Millis, Position};

use super::{FollowError, FollowEvent, FollowOptions, Follower, ReadStart};
use crate::backoff::{Backoff, as_millis};
use crate::newest::read_newest;
use crate::{KeyedLog, KeyedRecord, Local, Log, NewestRecords, ReadError};

/// Event of a followed keyed stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedEvent {
    /// Newest records of all keys; keys that are not listed no longer exist.
    State(Vec<KeyedRecord>),
    /// Records newer than those already reported, in order.
    Changes(Vec<KeyedRecord>),
    /// The log responds, and no record is left.
    CaughtUp,
    /// The log was restored from an older copy; its whole state follows.
    Era {
        /// Position reached before.
        before: Position,
        /// New era.
        now: u64,
    },
    /// A read timed out without a response; it is retried on another connection.
    Unanswered,
    /// Reads fail; reported at the start of an outage, and retried until one succeeds.
    Outage {
        /// Human-readable description of the failure.
        detail: String,
    },
    /// The whole state has still not been read after this time; the read goes on.
    StateMissing {
        /// Time since its start.
        waited: Millis,
    },
}

/// Time without a response after which a wait for the state is first reported; it doubles with each further report. A log
/// answers within a few milliseconds unless many processes read at once.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(700);

/// Read of the state that is in progress.
struct StateRead {
    start: ReadStart,
    /// Time from the start to the next report that it waits.
    report_delay: Duration,
    records: Local<'static, Result<NewestRecords, ReadError>>,
}

/// The state was not read.
enum StateError {
    Failed(ReadError),
    /// The read is still in progress after this time.
    Late(Millis),
}

/// Follower of one keyed stream.
pub struct KeyedFollower {
    log: Rc<dyn KeyedLog>,
    timer: Timer,
    stream: String,
    options: FollowOptions,
    backoff: Backoff,
    follower: Option<Follower>,
    /// Offset of the newest reported record by key; filters out older records in pages and repeats.
    reported_offsets: BTreeMap<String, u64>,
    outage_reported: bool,
    /// Read of the state in progress, if there is one.
    state_read: Option<StateRead>,
    /// Latest era received.
    era: Option<u64>,
    /// Whether an invalid era has been reported to the caller.
    invalid_era_reported: bool,
}

impl KeyedFollower {
    /// Follower of `stream` from its newest records.
    #[must_use]
    pub fn new_ext(
        log: Rc<dyn KeyedLog>,
        timer: &Timer,
        stream: &str,
        options: FollowOptions,
    ) -> Self {
        Self {
            log,
            timer: timer.clone(),
            stream: stream.to_owned(),
            options,
            backoff: Backoff::new(options.backoff),
            follower: None,
            reported_offsets: BTreeMap::new(),
            outage_reported: false,
            state_read: None,
            era: None,
            invalid_era_reported: false,
        }
    }

    /// Position of the next record to report; `None` before the first state.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.follower.as_ref().map(|f| Position {
            era: f.era.known.unwrap_or_default(),
            offset: f.offset(),
        })
    }

    /// Whether the log sent an invalid era: an earlier one, or none after it had sent one. Returns true
    /// only once.
    pub fn has_invalid_era(&mut self) -> bool {
        let invalid = self.follower.as_ref().is_some_and(|f| f.era.invalid);
        invalid && !std::mem::replace(&mut self.invalid_era_reported, true)
    }

    /// Whether all records that existed at the last response have been reported.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.follower.as_ref().is_some_and(Follower::is_at_end)
    }

    /// Start time of the last read that got a response; `None` before the first state.
    #[must_use]
    pub fn last_read_start(&self) -> Option<ReadStart> {
        self.follower.as_ref().map(Follower::last_read_start)
    }

    /// Sets the time that the log may wait for a record; applies from the next read.
    pub fn set_wait(&mut self, wait: Duration) {
        self.options.wait = wait;
        if let Some(follower) = &mut self.follower {
            follower.set_wait(wait);
        }
    }

    /// Makes the next read start immediately; see [`Follower::read_now`].
    pub fn read_now(&mut self) {
        if let Some(follower) = &mut self.follower {
            follower.read_now();
        }
    }

    /// Continues from `offset`, as all records before it have been received by other means. Returns those of
    /// `records` that were not reported before. Cancel a pending call of [`next`](Self::next) first.
    pub fn skip_to(&mut self, offset: u64, records: Vec<KeyedRecord>) -> Vec<KeyedRecord> {
        if let Some(follower) = &mut self.follower {
            follower.skip_to(offset);
        }
        self.keep_newer(records)
    }

    /// Returns the next event. Cancel safe: dropping the future loses no event.
    pub async fn next(&mut self) -> KeyedEvent {
        loop {
            let event = match &mut self.follower {
                None => self.load_state().await,
                Some(follower) => {
                    let event = follower.next().await;
                    self.handle_event(event).await
                }
            };
            if let Some(event) = event {
                return event;
            }
        }
    }

    async fn load_state(&mut self) -> Option<KeyedEvent> {
        let start = ReadStart::now(&self.timer);
        let start = self.state_read.as_ref().map_or(start, |read| read.start);
        let newest = match self.read_state(start).await {
            Ok(newest) => newest,
            Err(StateError::Failed(e)) => return self.handle_error(&e).await,
            Err(StateError::Late(waited)) => return Some(self.report_wait(waited)),
        };
        self.backoff.reset();
        self.outage_reported = false;
        let log: Rc<dyn Log> = self.log.clone();
        let mut follower =
            Follower::new_ext(log, &self.timer, &self.stream, newest.next, self.options);
        self.era = self.era.max(newest.era);
        follower.era.known = self.era;
        follower.skip_caught_up();
        follower.last_read_start = start;
        self.follower = Some(follower);
        let offset = |r: &KeyedRecord| (r.key.clone(), r.offset);
        self.reported_offsets = newest.records.iter().map(offset).collect();
        Some(KeyedEvent::State(newest.records))
    }

    async fn handle_event(
        &mut self,
        event: Result<FollowEvent, FollowError>,
    ) -> Option<KeyedEvent> {
        match event {
            Ok(FollowEvent::Records(records)) => {
                if let Some(follower) = &mut self.follower {
                    follower.skip_caught_up();
                }
                let keyed = records.iter().filter_map(|r| self.log.keyed(r)).collect();
                let newer = self.keep_newer(keyed);
                (!newer.is_empty()).then_some(KeyedEvent::Changes(newer))
            }
            Ok(FollowEvent::CaughtUp { .. }) => Some(KeyedEvent::CaughtUp),
            Ok(FollowEvent::Unanswered) => Some(KeyedEvent::Unanswered),
            Ok(FollowEvent::Outage { detail }) => Some(KeyedEvent::Outage { detail }),
            // Records are missing, so the state is reloaded from the newest record of each key. The errors
            // below are handled in the same way.
            Ok(FollowEvent::Trimmed { .. }) => {
                self.follower = None;
                None
            }
            Err(FollowError::Era { found, .. }) => {
                let before = self.position().unwrap_or_default();
                self.era = Some(found);
                self.follower = None;
                Some(KeyedEvent::Era { before, now: found })
            }
            Err(e) => {
                self.follower = None;
                let delay = self.backoff.next_delay(None);
                self.timer.sleep(delay).await;
                let detail = e.to_string();
                Some(KeyedEvent::Outage { detail })
            }
        }
    }

    fn keep_newer(&mut self, records: Vec<KeyedRecord>) -> Vec<KeyedRecord> {
        let mut newer = Vec::new();
        for record in records {
            let known = self.reported_offsets.get(&record.key);
            if known.is_some_and(|known| *known >= record.offset) {
                continue;
            }
            self.reported_offsets
                .insert(record.key.clone(), record.offset);
            newer.push(record);
        }
        newer
    }

    /// Continues or starts a read of the state, up to the next time at which a wait is reported.
    async fn read_state(&mut self, start: ReadStart) -> Result<NewestRecords, StateError> {
        let (log, stream, timer) = (&self.log, &self.stream, &self.timer);
        let read = self.state_read.get_or_insert_with(|| StateRead {
            start,
            report_delay: FIRST_REPORT_DELAY,
            records: Box::pin(read_newest(Rc::clone(log), stream.clone(), timer.clone())),
        });
        let report_at = read.start.at + as_millis(read.report_delay);
        let timeout = Box::pin(self.timer.sleep_until(report_at));
        match select(read.records.as_mut(), timeout).await {
            Either::Left((result, _)) => {
                self.state_read = None;
                result.map_err(StateError::Failed)
            }
            Either::Right(_) => {
                let waited = as_millis(read.report_delay);
                read.report_delay *= 2;
                Err(StateError::Late(waited))
            }
        }
    }

    /// Reports that the state has not arrived; the read goes on.
    fn report_wait(&mut self, waited: Millis) -> KeyedEvent {
        if std::mem::replace(&mut self.outage_reported, true) {
            return KeyedEvent::StateMissing { waited };
        }
        let detail = format!("no newest records within {} ms", waited.0);
        KeyedEvent::Outage { detail }
    }

    async fn handle_error(&mut self, error: &ReadError) -> Option<KeyedEvent> {
        let known = std::mem::replace(&mut self.outage_reported, true);
        if !known {
            let detail = error.to_string();
            return Some(KeyedEvent::Outage { detail });
        }
        let delay = self.backoff.next_delay(error.retry_after());
        self.timer.sleep(delay).await;
        None
    }
}
