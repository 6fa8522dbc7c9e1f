//! A count of what is open, whose fall to zero can be awaited.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Count of guards alive. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    count: usize,
    waiting: Vec<Waker>,
}

/// Counts one until dropped.
#[derive(Debug)]
pub struct TallyGuard {
    tally: Tally,
}

impl Tally {
    /// Count of zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one more until the guard is dropped.
    #[must_use]
    pub fn enter(&self) -> TallyGuard {
        self.state.borrow_mut().count += 1;
        TallyGuard {
            tally: self.clone(),
        }
    }

    /// Guards alive.
    #[must_use]
    pub fn count(&self) -> usize {
        self.state.borrow().count
    }

    /// Waits until no guard is alive.
    pub async fn zero(&self) {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            if state.count == 0 {
                return Poll::Ready(());
            }
            if !state.waiting.iter().any(|w| w.will_wake(cx.waker())) {
                state.waiting.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}

impl Drop for TallyGuard {
    fn drop(&mut self) {
        let mut state = self.tally.state.borrow_mut();
        state.count -= 1;
        if state.count > 0 {
            return;
        }
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        for waker in waiting {
            waker.wake();
        }
    }
}
