//! Follows a stream with keys: the whole state first, then each change, and the state again after
//! a gap.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::Timer;
use pumicecleat_types::{Millis, Position};

use super::{FollowError, FollowEvent, FollowOptions, Follower};
use crate::backoff::Backoff;
use crate::{KeyedLog, KeyedRecord, Log, ReadError};

/// What happened to a stream with keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedEvent {
    /// Every key that there is; what is not listed is gone.
    State(Vec<KeyedRecord>),
    /// Records that are newer than what was told, in order.
    Changes(Vec<KeyedRecord>),
    /// Log answers, and no record is left.
    CaughtUp,
    /// Log has come back from an older copy; the whole state of that comes next.
    Era {
        /// Place reached before.
        before: Position,
        /// Era that it is in now.
        now: u64,
    },
    /// A read timed out without an answer; it is retried on another connection.
    Unanswered,
    /// Log does not answer; told once, and tried on until it does.
    Outage {
        /// First failure, for people.
        detail: String,
    },
}

/// Follower of one stream with keys.
pub struct KeyedFollower {
    log: Rc<dyn KeyedLog>,
    timer: Timer,
    stream: String,
    options: FollowOptions,
    backoff: Backoff,
    follower: Option<Follower>,
    /// Offset of the newest record told, by key; guards against a page or a repeat that is older.
    told: BTreeMap<String, u64>,
    outage: bool,
    /// Latest era told.
    era: Option<u64>,
    /// Whether an era that makes no sense was told of.
    odd_told: bool,
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
            told: BTreeMap::new(),
            outage: false,
            era: None,
            odd_told: false,
        }
    }

    /// Place of the next record to be told; `None` before the first state.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.follower.as_ref().map(|f| Position {
            era: f.era.known.unwrap_or_default(),
            offset: f.offset(),
        })
    }

    /// Whether the log told an era that makes no sense: an earlier one, or none after it told one. True
    /// once.
    pub fn has_invalid_era(&mut self) -> bool {
        let odd = self.follower.as_ref().is_some_and(|f| f.era.odd);
        odd && !std::mem::replace(&mut self.odd_told, true)
    }

    /// Whether all records are told that there were at the last answer.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.follower.as_ref().is_some_and(Follower::is_at_end)
    }

    /// Start of the last read that was answered; `None` before the first state.
    #[must_use]
    pub fn last_read_start(&self) -> Option<Millis> {
        self.follower.as_ref().map(Follower::last_read_start)
    }

    /// Sets the time that the log may wait for a record; applies from the next read.
    pub fn set_wait(&mut self, wait: Duration) {
        self.options.wait = wait;
        if let Some(follower) = &mut self.follower {
            follower.set_wait(wait);
        }
    }

    /// Reads at once when asked next; see [`Follower::read_now`].
    pub fn read_now(&mut self) {
        if let Some(follower) = &mut self.follower {
            follower.read_now();
        }
    }

    /// Next event. May be dropped at any time and asked for again; nothing is lost by it.
    pub async fn next(&mut self) -> KeyedEvent {
        loop {
            let event = match &mut self.follower {
                None => self.state().await,
                Some(follower) => {
                    let event = follower.next().await;
                    self.take(event).await
                }
            };
            if let Some(event) = event {
                return event;
            }
        }
    }

    async fn state(&mut self) -> Option<KeyedEvent> {
        let start = self.timer.now();
        let newest = match self.log.newest(&self.stream).await {
            Ok(newest) => newest,
            Err(e) => return self.fail(&e).await,
        };
        self.backoff.reset();
        self.outage = false;
        let log: Rc<dyn Log> = self.log.clone();
        let mut follower =
            Follower::new_ext(log, &self.timer, &self.stream, newest.next, self.options);
        self.era = self.era.max(newest.era);
        follower.era.known = self.era;
        follower.skip_caught_up();
        follower.last_read_start = start;
        self.follower = Some(follower);
        let offset = |r: &KeyedRecord| (r.key.clone(), r.offset);
        self.told = newest.records.iter().map(offset).collect();
        Some(KeyedEvent::State(newest.records))
    }

    async fn take(&mut self, event: Result<FollowEvent, FollowError>) -> Option<KeyedEvent> {
        match event {
            Ok(FollowEvent::Records(records)) => {
                if let Some(follower) = &mut self.follower {
                    follower.skip_caught_up();
                }
                let keyed = records.iter().filter_map(|r| self.log.keyed(r)).collect();
                let fresh = self.fresh(keyed);
                (!fresh.is_empty()).then_some(KeyedEvent::Changes(fresh))
            }
            Ok(FollowEvent::CaughtUp { .. }) => Some(KeyedEvent::CaughtUp),
            Ok(FollowEvent::Unanswered) => Some(KeyedEvent::Unanswered),
            Ok(FollowEvent::Outage { detail }) => Some(KeyedEvent::Outage { detail }),
            // Records are missing, or the log contradicts itself: the newest ones tell the rest.
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
                let pause = self.backoff.next_pause(None);
                self.timer.sleep(pause).await;
                let detail = e.to_string();
                Some(KeyedEvent::Outage { detail })
            }
        }
    }

    fn fresh(&mut self, records: Vec<KeyedRecord>) -> Vec<KeyedRecord> {
        let mut fresh = Vec::new();
        for record in records {
            let known = self.told.get(&record.key);
            if known.is_some_and(|known| *known >= record.offset) {
                continue;
            }
            self.told.insert(record.key.clone(), record.offset);
            fresh.push(record);
        }
        fresh
    }

    async fn fail(&mut self, error: &ReadError) -> Option<KeyedEvent> {
        let known = std::mem::replace(&mut self.outage, true);
        if !known {
            let detail = error.to_string();
            return Some(KeyedEvent::Outage { detail });
        }
        let pause = self.backoff.next_pause(error.retry_after());
        self.timer.sleep(pause).await;
        None
    }
}
