//! Requests under way, and the wait for their end.

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

/// Requests under way. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    state: Rc<RefCell<State>>,
    tally: Tally,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: BTreeMap<u64, RequestId>,
}

/// Keeps its request under way until dropped.
#[derive(Debug)]
pub struct DrainGuard {
    state: Rc<RefCell<State>>,
    number: u64,
    // Dropped after the request is taken out, so that who waits for zero sees none open.
    _count: TallyGuard,
}

/// How a drain ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Every request has ended.
    Finished,
    /// A second signal ended it with these requests open.
    Interrupted(Vec<RequestId>),
    /// The limit ended it with these requests open.
    TimedOut(Vec<RequestId>),
}

impl Drain {
    /// No request under way.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts `request` as under way until the guard is dropped.
    #[must_use]
    pub fn track(&self, request: &RequestId) -> DrainGuard {
        let mut state = self.state.borrow_mut();
        let number = state.next;
        state.next += 1;
        state.open.insert(number, request.clone());
        drop(state);
        DrainGuard {
            state: Rc::clone(&self.state),
            number,
            _count: self.tally.enter(),
        }
    }

    /// Requests under way.
    #[must_use]
    pub fn in_flight(&self) -> Vec<RequestId> {
        self.state.borrow().open.values().cloned().collect()
    }

    /// Number of requests under way.
    #[must_use]
    pub fn count(&self) -> usize {
        self.tally.count()
    }

    /// Waits until no request is under way.
    pub async fn wait_idle(&self) {
        self.tally.zero().await;
    }

    /// Waits until no request is under way, a second signal comes or `limit` passes, and logs how
    /// it went, with each request cut.
    pub async fn finish(
        &self,
        stop: &Stop,
        limit: Duration,
        timer: &Timer,
        log: &Log,
    ) -> DrainOutcome {
        let from = timer.now();
        let fields = [
            field("open", self.count()),
            field("limit_ms", saturating_ms(limit)),
        ];
        log.emit(&events::DRAIN_STARTED, &fields);
        let end = self.wait(stop, timer.sleep(limit)).await;
        match &end {
            DrainOutcome::Finished => {
                let took = timer.now().since(from).0;
                log.emit(&events::DRAIN_FINISHED, &[field("took_ms", took)]);
            }
            DrainOutcome::Interrupted(cut) => {
                log.emit(&events::SECOND_SIGNAL, &[field("open", cut.len())]);
                log_cut(log, cut, "second signal");
            }
            DrainOutcome::TimedOut(cut) => log_cut(log, cut, "drain limit"),
        }
        end
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
    /// Requests that the end cut.
    #[must_use]
    pub fn aborted(&self) -> &[RequestId] {
        match self {
            Self::Finished => &[],
            Self::Interrupted(cut) | Self::TimedOut(cut) => cut,
        }
    }
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.state.borrow_mut().open.remove(&self.number);
    }
}

fn log_cut(log: &Log, cut: &[RequestId], cause: &str) {
    for request in cut {
        let fields = [field("request", request), field("cause", cause)];
        log.emit(&events::DRAIN_CUT, &fields);
    }
}

fn saturating_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
