//! What waits for its caller, in the order in which it gives way.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};

use async_channel::Receiver;
use pumicecleat_types::Millis;

use super::budget::CloseRequest;
use super::counters::Cause;

/// Server whose connections a wait belongs to.
pub(crate) type ServerId = u64;

/// Order of waits: by the time from which each gives way, then by age.
type Key = (Millis, u64);

/// Waits of all connections of a process. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct WaitList {
    state: Rc<RefCell<State>>,
}

#[derive(Default)]
struct State {
    next: u64,
    waits: BTreeMap<Key, Weak<Wait>>,
}

/// A head, body or response that may wait for its caller.
pub(crate) struct Wait {
    list: WaitList,
    own: Weak<Wait>,
    server: ServerId,
    cause: Cell<Cause>,
    /// Place in the list; `None` while it doesn't wait, and once asked to give way.
    key: Cell<Option<Key>>,
    asked: RefCell<Option<CloseRequest>>,
    waker: RefCell<Option<Waker>>,
}

impl WaitList {
    pub(crate) fn enter(&self, server: ServerId) -> Rc<Wait> {
        Rc::new_cyclic(|own| Wait {
            list: self.clone(),
            own: own.clone(),
            server,
            cause: Cell::new(Cause::StalledHead),
            key: Cell::default(),
            asked: RefCell::default(),
            waker: RefCell::default(),
        })
    }

    /// Asks the first wait to give way, of those whose time has come; of one server's if it is named. The channel closes
    /// once it has done so or declined.
    pub(crate) fn ask_first(
        &self,
        now: Millis,
        server: Option<ServerId>,
    ) -> Option<Receiver<Infallible>> {
        let wait = self.first(now, server)?;
        Some(wait.ask())
    }

    /// Time from which the first wait gives way.
    pub(crate) fn first_time(&self) -> Option<Millis> {
        let state = self.state.borrow();
        state.waits.keys().next().map(|(time, _)| *time)
    }

    fn first(&self, now: Millis, server: Option<ServerId>) -> Option<Rc<Wait>> {
        let state = self.state.borrow();
        let mut due = state.waits.range(..=(now, u64::MAX));
        due.find_map(|(_, wait)| {
            let wait = wait.upgrade()?;
            let is_meant = server.is_none_or(|s| s == wait.server);
            is_meant.then_some(wait)
        })
    }
}

impl Wait {
    /// Another wait on the same server.
    pub(crate) fn beside(&self) -> Rc<Wait> {
        self.list.enter(self.server)
    }

    /// Starts to wait, or waits anew after progress: it gives way from `time` on, counted as `cause`.
    pub(crate) fn begin(&self, time: Millis, cause: Cause) {
        self.end();
        self.cause.set(cause);
        let mut state = self.list.state.borrow_mut();
        let key = (time, state.next);
        state.next += 1;
        state.waits.insert(key, self.own.clone());
        self.key.set(Some(key));
    }

    /// Ends the wait; a request to give way that was not followed yet is declined.
    pub(crate) fn end(&self) {
        self.leave_list();
        self.asked.take();
    }

    pub(crate) fn is_waiting(&self) -> bool {
        self.key.get().is_some()
    }

    pub(crate) fn is_asked(&self) -> bool {
        self.asked.borrow().is_some()
    }

    pub(crate) fn cause(&self) -> Cause {
        self.cause.get()
    }

    /// The request to give way, if there is one; what it is dropped with has given way.
    pub(crate) fn take_request(&self) -> Option<CloseRequest> {
        self.asked.take()
    }

    /// Waits until it is asked to give way.
    pub(crate) fn poll_asked(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_asked() {
            return Poll::Ready(());
        }
        let mut waker = self.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
            *waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn ask(&self) -> Receiver<Infallible> {
        self.leave_list();
        let (request, closed) = async_channel::bounded(1);
        self.asked.replace(Some(request));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
        closed
    }

    fn leave_list(&self) {
        if let Some(key) = self.key.take() {
            self.list.state.borrow_mut().waits.remove(&key);
        }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.leave_list();
    }
}
