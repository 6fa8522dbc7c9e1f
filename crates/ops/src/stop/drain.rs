//! Tracking requests in flight, and waiting until they have ended.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use pumicecleat_net::{Tally, TallyGuard, Timer};
use pumicecleat_types::RequestId;

use super::Stop;
use crate::{Log, events, field};

/// Tracks requests in flight. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    state: Rc<RefCell<State>>,
    tally: Tally,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    open: BTreeMap<u64, RequestId>,
}

/// Tracks its request as in flight until dropped.
#[derive(Debug)]
pub struct DrainGuard {
    state: Rc<RefCell<State>>,
    id: u64,
    // Dropped after `drop` has removed the request, so that no request is listed once the count is 0.
    _count: TallyGuard,
}

/// How a drain ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// All requests have ended.
    Finished,
    /// A second signal ended it with these requests in flight.
    Interrupted(Vec<RequestId>),
    /// The time limit ended it with these requests in flight.
    TimedOut(Vec<RequestId>),
}

impl Drain {
    /// Creates a drain without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Tracks `request` as in flight until the guard is dropped.
    #[must_use]
    pub fn track(&self, request: &RequestId) -> DrainGuard {
        let mut state = self.state.borrow_mut();
        let id = state.next_id;
        state.next_id += 1;
        state.open.insert(id, request.clone());
        drop(state);
        DrainGuard {
            state: Rc::clone(&self.state),
            id,
            _count: self.tally.enter(),
        }
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> Vec<RequestId> {
        self.state.borrow().open.values().cloned().collect()
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        self.tally.count()
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        self.tally.zero().await;
    }

    /// Waits until no request is in flight, a second signal arrives or `limit` has passed. Logs the
    /// outcome, and each request that is aborted.
    pub async fn finish(
        &self,
        stop: &Stop,
        limit: Duration,
        timer: &Timer,
        log: &Log,
    ) -> DrainOutcome {
        let started_at = timer.now();
        let fields = [
            field("open", self.count()),
            field("limit_ms", to_millis(limit)),
        ];
        log.emit(&events::DRAIN_STARTED, &fields);
        let outcome = self.wait(stop, timer.sleep(limit)).await;
        match &outcome {
            DrainOutcome::Finished => {
                let took_ms = timer.now().since(started_at).0;
                log.emit(&events::DRAIN_FINISHED, &[field("took_ms", took_ms)]);
            }
            DrainOutcome::Interrupted(aborted) => {
                log.emit(&events::SECOND_SIGNAL, &[field("open", aborted.len())]);
                log_aborted(log, aborted, "second signal");
            }
            DrainOutcome::TimedOut(aborted) => log_aborted(log, aborted, "drain limit"),
        }
        outcome
    }

    async fn wait(&self, stop: &Stop, limit: impl Future<Output = ()>) -> DrainOutcome {
        let idle = pin!(self.wait_idle());
        let second = pin!(stop.requested_again());
        let limit = pin!(limit);
        match select(idle, select(second, limit)).await {
            Either::Left(_) => DrainOutcome::Finished,
            Either::Right((Either::Left(_), _)) => DrainOutcome::Interrupted(self.in_flight()),
            Either::Right((Either::Right(_), _)) => DrainOutcome::TimedOut(self.in_flight()),
        }
    }
}

impl DrainOutcome {
    /// Requests still in flight when the drain ended.
    #[must_use]
    pub fn aborted(&self) -> &[RequestId] {
        match self {
            Self::Finished => &[],
            Self::Interrupted(aborted) | Self::TimedOut(aborted) => aborted,
        }
    }
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.state.borrow_mut().open.remove(&self.id);
    }
}

fn log_aborted(log: &Log, aborted: &[RequestId], cause: &str) {
    for request in aborted {
        let fields = [field("request", request), field("cause", cause)];
        log.emit(&events::DRAIN_CUT, &fields);
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
