//! Idle connections of a server, ordered by the time since which they are idle.
//!
//! The server asks the one that has been idle longest to close. Its own task decides: only there is it known whether
//! bytes of a request have arrived meanwhile.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};

use async_channel::Receiver;
use pumicecleat_types::Millis;

use crate::memory::{Cause, CloseRequest, Lease, MemoryBudget, Wait};

/// Time for a head from its first byte on, and for the next part of a body, after which it gives way if memory or
/// connections are short.
pub(crate) const STALL_SPAN: Millis = Millis(500);

/// The same for a response that its caller does not read. Longer, because the request has been executed.
const UNREAD_SPAN: Millis = Millis(2_000);

/// Bytes that make up a part, bytes. Fewer are no progress.
pub(crate) const PART_BYTES: usize = 16 * 1024;

/// Idle connections. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct IdleList {
    state: Rc<RefCell<State>>,
}

#[derive(Default)]
struct State {
    next: u64,
    /// By place: the first has been idle longest.
    connections: BTreeMap<u64, Weak<Presence>>,
}

/// Whether one connection is idle.
pub(crate) struct Presence {
    list: IdleList,
    own: Weak<Presence>,
    /// Place in the list; `None` while not idle, and once asked to close.
    place: Cell<Option<u64>>,
    is_idle: Cell<bool>,
    /// Takes no more requests, and is never idle again.
    has_ended: Cell<bool>,
    /// Requests in progress.
    active: Cell<usize>,
    /// A response has ended since the connection was last idle.
    has_answered: Cell<bool>,
    asked: RefCell<Option<CloseRequest>>,
    waker: RefCell<Option<Waker>>,
    end: IdleFrom,
    pub(crate) budget: MemoryBudget,
    /// Whether a head or response waits for the caller.
    pub(crate) wait: Rc<Wait>,
    /// Bytes written since the wait began or went on.
    written: Cell<usize>,
    /// Request of a body that gave way; followed once the connection has ended.
    followed: RefCell<Option<CloseRequest>>,
    _lease: Lease,
}

/// What makes a connection without a request in progress idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleFrom {
    /// The flush of the last response.
    Flush,
    /// The end of the last response; the protocol itself tells the peer which requests are still answered.
    Response,
}

/// A request in progress on a connection, until dropped.
pub(crate) struct Exchange {
    presence: Rc<Presence>,
    /// Memory of the request beside its body.
    pub(crate) lease: Lease,
}

impl IdleList {
    /// Adds a connection that has just been accepted, which is idle.
    pub(crate) fn enter(
        &self,
        end: IdleFrom,
        budget: &MemoryBudget,
        wait: Rc<Wait>,
        lease: Lease,
    ) -> Rc<Presence> {
        let presence = Rc::new_cyclic(|own| Presence {
            list: self.clone(),
            own: own.clone(),
            place: Cell::default(),
            is_idle: Cell::default(),
            has_ended: Cell::default(),
            active: Cell::default(),
            has_answered: Cell::default(),
            asked: RefCell::default(),
            waker: RefCell::default(),
            end,
            budget: budget.clone(),
            wait,
            written: Cell::default(),
            followed: RefCell::default(),
            _lease: lease,
        });
        presence.set_idle();
        presence
    }

    /// Asks the connection that has been idle longest to close; the channel closes once it has done so or declined.
    pub(crate) fn ask_longest(&self) -> Option<Receiver<Infallible>> {
        loop {
            let (_, presence) = self.state.borrow_mut().connections.pop_first()?;
            if let Some(presence) = presence.upgrade() {
                return Some(presence.ask());
            }
        }
    }
}

impl Presence {
    /// Records that a request began.
    pub(crate) fn start_exchange(self: &Rc<Self>) -> Exchange {
        self.set_busy();
        self.wait.end();
        self.active.set(self.active.get() + 1);
        Exchange {
            presence: Rc::clone(self),
            lease: self.budget.lease(),
        }
    }

    /// Records that bytes arrived, or the end of the peer's.
    pub(crate) fn record_read(&self) {
        self.set_busy();
        let is_head = self.active.get() == 0 && !self.has_ended.get();
        if is_head && !self.wait.is_waiting() && !self.wait.is_asked() {
            let now = self.budget.timer().now();
            self.wait.begin(now + STALL_SPAN, Cause::StalledHead);
        }
    }

    /// Records that the peer does not read what is written.
    pub(crate) fn record_blocked(&self) {
        if self.wait.is_waiting() || self.wait.is_asked() {
            return;
        }
        self.written.set(0);
        let now = self.budget.timer().now();
        self.wait.begin(now + UNREAD_SPAN, Cause::UnreadResponse);
    }

    /// Records that `length` bytes were written.
    pub(crate) fn record_written(&self, length: usize) {
        if self.wait.cause() != Cause::UnreadResponse || !self.wait.is_waiting() {
            return;
        }
        let written = self.written.get() + length;
        self.written.set(written);
        if written >= PART_BYTES {
            self.wait.end();
            self.record_blocked();
        }
    }

    /// Records that all bytes written so far were sent.
    pub(crate) fn record_flush(&self) {
        if self.wait.cause() == Cause::UnreadResponse {
            self.wait.end();
        }
        if self.active.get() == 0 && self.has_answered.take() {
            self.set_idle();
        }
    }

    /// Records that the connection takes no more requests.
    pub(crate) fn record_end(&self) {
        self.has_ended.set(true);
        self.set_busy();
        self.asked.take();
        self.wait.end();
    }

    /// Wait of a request's body on this connection.
    pub(crate) fn body_wait(&self) -> Rc<Wait> {
        self.wait.beside()
    }

    /// Records that a body gave way, as `request` asks; the connection ends with its response.
    pub(crate) fn follow(&self, request: Option<CloseRequest>) {
        self.followed.replace(request);
    }

    /// The request that a body followed.
    pub(crate) fn take_followed(&self) -> Option<CloseRequest> {
        self.followed.take()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.is_idle.get()
    }

    /// Whether requests are in progress.
    pub(crate) fn is_active(&self) -> bool {
        self.active.get() > 0
    }

    /// Waits until the connection is asked to close.
    pub(crate) fn poll_asked(&self, cx: &mut Context<'_>) -> Poll<CloseRequest> {
        if let Some(request) = self.asked.take() {
            return Poll::Ready(request);
        }
        let mut waker = self.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
            *waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn ask(&self) -> Receiver<Infallible> {
        self.place.set(None);
        let (request, closed) = async_channel::bounded(1);
        self.asked.replace(Some(request));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
        closed
    }

    fn set_idle(&self) {
        if self.has_ended.get() {
            return;
        }
        self.set_busy();
        self.is_idle.set(true);
        let mut state = self.list.state.borrow_mut();
        let place = state.next;
        state.next += 1;
        state.connections.insert(place, self.own.clone());
        self.place.set(Some(place));
    }

    fn set_busy(&self) {
        self.is_idle.set(false);
        if let Some(place) = self.place.take() {
            self.list.state.borrow_mut().connections.remove(&place);
        }
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.set_busy();
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let presence = &self.presence;
        presence.active.set(presence.active.get() - 1);
        presence.has_answered.set(true);
        if presence.end == IdleFrom::Response {
            presence.record_flush();
        }
    }
}
