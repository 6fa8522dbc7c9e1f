//! The budget of a process.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use pumicecleat_types::Millis;

use super::counters::{Cause, Counters, Lease};
use super::limits::MemoryLimits;
use super::waits::{ServerId, Wait, WaitList};
use crate::Timer;
use crate::idle::IdleList;

/// What a connection that was asked to close drops once it has closed or declined.
pub(crate) type CloseRequest = Sender<Infallible>;

/// Waits or idle connections that are asked to give way for one lease, which bounds its wait.
const MOST_ASKED: usize = 64;

/// Longest wait for one of them. Its task is ready at once, and only its handler could hold it up.
const ASK_SPAN: Duration = Duration::from_millis(20);

/// Shortest time told to a caller that was refused.
const MIN_RETURN: Millis = Millis(100);

/// Time told if nothing waits for its caller, so that memory is only given back as requests end.
const USUAL_RETURN: Millis = Millis(500);

/// The budget has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom {
    /// Time after which something gives way.
    pub retry_after: Millis,
}

/// Budget of the memory that a process holds for its callers. Clones share it.
#[derive(Clone)]
pub struct MemoryBudget {
    state: Rc<State>,
}

struct State {
    counters: Arc<Counters>,
    timer: Timer,
    waits: WaitList,
    servers: Cell<ServerId>,
    idle: RefCell<Vec<IdleList>>,
}

impl MemoryBudget {
    /// Budget within `limits`.
    #[must_use]
    pub fn new_ext(limits: MemoryLimits, timer: &Timer) -> Self {
        let state = State {
            counters: Arc::new(Counters::new(limits)),
            timer: timer.clone(),
            waits: WaitList::default(),
            servers: Cell::default(),
            idle: RefCell::default(),
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// Limits of the budget.
    #[must_use]
    pub fn limits(&self) -> MemoryLimits {
        self.state.counters.limits
    }

    /// Bytes held now.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.state.counters.held()
    }

    /// Lease of no bytes yet.
    #[must_use]
    pub fn lease(&self) -> Lease {
        Lease::new(&self.state.counters)
    }

    /// Reader of the counts, for another thread.
    #[must_use]
    pub fn reading(&self) -> MemoryReading {
        MemoryReading {
            counters: Arc::clone(&self.state.counters),
        }
    }

    /// Adds a server, whose idle connections may be asked to close.
    pub(crate) fn add_server(&self, idle: &IdleList) -> ServerId {
        self.state.idle.borrow_mut().push(idle.clone());
        let id = self.state.servers.get();
        self.state.servers.set(id + 1);
        id
    }

    pub(crate) fn enter_wait(&self, server: ServerId) -> Rc<Wait> {
        self.state.waits.enter(server)
    }

    pub(crate) fn count(&self, cause: Cause) {
        self.state.counters.count(cause);
    }

    /// Timer service of the budget.
    #[must_use]
    pub fn timer(&self) -> &Timer {
        &self.state.timer
    }

    /// Adds `bytes` to `lease`, if necessary after others have given way.
    pub(crate) async fn grow(&self, lease: &mut Lease, bytes: u64) -> Result<(), NoRoom> {
        for _ in 0..MOST_ASKED {
            if lease.try_grow(bytes) {
                return Ok(());
            }
            let Some(closed) = self.ask_any() else {
                break;
            };
            self.wait_for(closed).await;
        }
        if lease.try_grow(bytes) {
            return Ok(());
        }
        Err(self.no_room())
    }

    /// Asks one of a server's waiting connections to close and waits until it has; false if there is none.
    pub(crate) async fn make_place(&self, server: ServerId) -> bool {
        let now = self.state.timer.now();
        let Some(closed) = self.state.waits.ask_first(now, Some(server)) else {
            return false;
        };
        self.wait_for(closed).await;
        true
    }

    /// What a caller without room is told.
    pub(crate) fn no_room(&self) -> NoRoom {
        let now = self.state.timer.now();
        let first = self.state.waits.first_time();
        let wait = first.map_or(USUAL_RETURN, |time| time.since(now));
        NoRoom {
            retry_after: wait.max(MIN_RETURN),
        }
    }

    fn ask_any(&self) -> Option<Receiver<Infallible>> {
        let now = self.state.timer.now();
        let waiting = self.state.waits.ask_first(now, None);
        waiting.or_else(|| {
            let idle = self.state.idle.borrow();
            idle.iter().find_map(IdleList::ask_longest)
        })
    }

    async fn wait_for(&self, closed: Receiver<Infallible>) {
        // Nothing is ever sent: the channel closes. What has not followed by then is passed over.
        let _ = self.state.timer.within(ASK_SPAN, closed.recv()).await;
    }
}

/// Counts of a budget, readable from any thread.
#[derive(Clone, Debug)]
pub struct MemoryReading {
    counters: Arc<Counters>,
}

impl MemoryReading {
    /// Bytes held now.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.counters.held()
    }

    /// Most bytes that may be held.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        self.counters.limits.capacity
    }

    /// How often something was refused or closed for `cause`.
    #[must_use]
    pub fn counted(&self, cause: Cause) -> u64 {
        self.counters.counted(cause)
    }
}
