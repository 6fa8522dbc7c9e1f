//! Timer service: parts subscribe to an instant and one driver task wakes them.
//!
//! Subscriptions stand in a map ordered by instant; the driver sleeps until the first. Instants
//! are [`Millis`] since the service started, on the monotonic clock.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use pumicecleat_types::{BootTime, Millis};
use rustix::time::{ClockId, clock_gettime};

/// Longest span; a longer one, from a peer's header perhaps, ends after this one.
pub(crate) const LONGEST: Duration = Duration::from_hours(100 * 365 * 24);

/// Longest sleep of the driver; it looks again after it.
const LONGEST_SLEEP: Duration = Duration::from_hours(1);

/// Handle of the timer service.
#[derive(Clone)]
pub struct Timer {
    state: Rc<RefCell<State>>,
    start: Instant,
}

#[derive(Default)]
struct State {
    next_id: u64,
    wakers: BTreeMap<Slot, Option<Waker>>,
    driver: Option<Waker>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    at: Instant,
    id: u64,
}

/// A future took longer than it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl Timer {
    /// Starts the service on this thread's loop.
    #[must_use]
    pub fn start() -> Self {
        let timer = Self {
            state: Rc::default(),
            start: Instant::now(),
        };
        monoio::spawn(Driver {
            state: Rc::downgrade(&timer.state),
            sleep: None,
        });
        timer
    }

    /// Time since the service started.
    #[must_use]
    pub fn now(&self) -> Millis {
        let ms = self.start.elapsed().as_millis();
        Millis(u64::try_from(ms).unwrap_or(u64::MAX))
    }

    /// Time on the clock that also counts the time in which the VM was suspended.
    #[must_use]
    pub fn boot_now(&self) -> BootTime {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let millis = u64::try_from(now.tv_nsec / 1_000_000).unwrap_or_default();
        BootTime(seconds * 1_000 + millis)
    }

    /// Subscription that ends after `span`.
    #[must_use]
    pub fn sleep(&self, span: Duration) -> Sleep {
        self.subscribe(Instant::now() + span.min(LONGEST))
    }

    /// Subscription that ends at `at`.
    #[must_use]
    pub fn sleep_until(&self, at: Millis) -> Sleep {
        let span = Duration::from_millis(at.0);
        self.subscribe(self.start + span.min(LONGEST))
    }

    /// Result of `work` if it ends within `span`.
    ///
    /// # Errors
    /// [`Elapsed`] if it does not; `work` is dropped then.
    pub async fn within<F: Future>(&self, span: Duration, work: F) -> Result<F::Output, Elapsed> {
        let sleep = self.sleep(span);
        let mut work = std::pin::pin!(work);
        let mut sleep = std::pin::pin!(sleep);
        std::future::poll_fn(|cx| {
            if let Poll::Ready(out) = work.as_mut().poll(cx) {
                return Poll::Ready(Ok(out));
            }
            sleep.as_mut().poll(cx).map(|()| Err(Elapsed))
        })
        .await
    }

    pub(crate) fn subscribe(&self, at: Instant) -> Sleep {
        let mut state = self.state.borrow_mut();
        let slot = Slot {
            at,
            id: state.next_id,
        };
        state.next_id += 1;
        let first = state.wakers.keys().next().is_none_or(|s| slot < *s);
        state.wakers.insert(slot, None);
        if first && let Some(driver) = state.driver.take() {
            driver.wake();
        }
        drop(state);
        Sleep {
            state: Rc::clone(&self.state),
            slot,
        }
    }
}

impl fmt::Debug for Timer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Timer").field("now", &self.now()).finish()
    }
}

/// Subscription to one instant.
pub struct Sleep {
    state: Rc<RefCell<State>>,
    slot: Slot,
}

impl Sleep {
    /// Its end.
    pub(crate) fn at(&self) -> Instant {
        self.slot.at
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.slot.at {
            return Poll::Ready(());
        }
        let mut state = self.state.borrow_mut();
        // A driver that fired a moment early has taken the slot out; it goes back in.
        let fresh = !state.wakers.contains_key(&self.slot);
        state.wakers.insert(self.slot, Some(cx.waker().clone()));
        if fresh && let Some(driver) = state.driver.take() {
            driver.wake();
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.state.borrow_mut().wakers.remove(&self.slot);
    }
}

struct Driver {
    state: std::rc::Weak<RefCell<State>>,
    sleep: Option<Pin<Box<monoio::time::Sleep>>>,
}

impl Future for Driver {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(state) = self.state.upgrade() else {
            return Poll::Ready(());
        };
        loop {
            let now = Instant::now();
            let first = fire_due(&state, now);
            state.borrow_mut().driver = Some(cx.waker().clone());
            let Some(at) = first else {
                self.sleep = None;
                return Poll::Pending;
            };
            let mut sleep = Box::pin(monoio::time::sleep_until(
                at.min(now + LONGEST_SLEEP).into(),
            ));
            if sleep.as_mut().poll(cx).is_pending() {
                self.sleep = Some(sleep);
                return Poll::Pending;
            }
        }
    }
}

/// Wakes what is due and gives the first instant that is not.
fn fire_due(state: &RefCell<State>, now: Instant) -> Option<Instant> {
    loop {
        let mut state = state.borrow_mut();
        let (slot, _) = state.wakers.first_key_value()?;
        let slot = *slot;
        if slot.at > now {
            return Some(slot.at);
        }
        let waker = state.wakers.remove(&slot).flatten();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}
