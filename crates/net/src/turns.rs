//! Turns: work that may wait goes a few pieces at a time, and the poller is asked in between.
//!
//! The loop runs its ready tasks in the order of their waking. A thousand pieces that arrive at once
//! would all go before a request that arrives just after them. Parts whose work may wait a moment
//! take a place first: in one turn as many go as the limit says, the others wait in order, and the
//! next turn begins once the poller was asked and what it told was woken. Work that takes no place
//! is ahead of all that wait. A place comes after as many turns as those before it fill.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};

use futures_util::future::join;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::UnixStream;

/// Handle of the turns of one loop.
#[derive(Clone)]
pub struct Turns {
    state: Rc<RefCell<State>>,
}

struct State {
    /// Places in one turn.
    limit: usize,
    /// Places left in this turn.
    left: usize,
    next_id: u64,
    /// Waiting places in order.
    waiting: BTreeMap<u64, Waker>,
    driver: Option<Waker>,
}

impl Turns {
    /// Starts turns of at most `limit` places on this thread's loop.
    ///
    /// # Errors
    /// The system's, if it gives no pair of sockets.
    pub fn start(limit: usize) -> io::Result<Self> {
        let poller = Poller::new()?;
        let limit = limit.max(1);
        let state = State {
            limit,
            left: limit,
            next_id: 0,
            waiting: BTreeMap::new(),
            driver: None,
        };
        let turns = Self {
            state: Rc::new(RefCell::new(state)),
        };
        monoio::spawn(drive(Rc::downgrade(&turns.state), poller));
        Ok(turns)
    }

    /// Place in this turn, or in a later one if this is full; dropping it gives it up.
    #[must_use]
    pub fn place(&self) -> Place {
        Place {
            state: Rc::clone(&self.state),
            id: None,
        }
    }
}

/// A place in a turn; ready when the turn has come.
pub struct Place {
    state: Rc<RefCell<State>>,
    /// Id among those that wait.
    id: Option<u64>,
}

impl Future for Place {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let state = Rc::clone(&self.state);
        let mut state = state.borrow_mut();
        let Some(id) = self.id else {
            if state.left > 0 && state.waiting.is_empty() {
                state.left -= 1;
                return Poll::Ready(());
            }
            self.id = Some(state.wait(cx.waker()));
            return Poll::Pending;
        };
        match state.waiting.get_mut(&id) {
            None => Poll::Ready(()),
            Some(waker) => {
                waker.clone_from(cx.waker());
                Poll::Pending
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.state.borrow_mut().waiting.remove(&id);
        }
    }
}

impl State {
    /// Id of a new waiting place, behind all others.
    fn wait(&mut self, waker: &Waker) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.waiting.insert(id, waker.clone());
        if let Some(driver) = self.driver.take() {
            driver.wake();
        }
        id
    }

    /// Begins a turn; gives who has a place in it.
    fn begin(&mut self) -> Vec<Waker> {
        let count = self.limit.min(self.waiting.len());
        self.left = self.limit - count;
        let first = (0..count).filter_map(|_| self.waiting.pop_first());
        first.map(|(_, waker)| waker).collect()
    }
}

/// Begins turns as long as places wait.
async fn drive(state: Weak<RefCell<State>>, mut poller: Poller) {
    while wait_for_place(&state).await {
        poller.ask().await;
        let Some(state) = state.upgrade() else {
            return;
        };
        let first = state.borrow_mut().begin();
        first.into_iter().for_each(Waker::wake);
    }
}

/// True once a place waits, false if all handles are gone.
async fn wait_for_place(state: &Weak<RefCell<State>>) -> bool {
    poll_fn(|cx| {
        let Some(state) = state.upgrade() else {
            return Poll::Ready(false);
        };
        let mut state = state.borrow_mut();
        if !state.waiting.is_empty() {
            return Poll::Ready(true);
        }
        state.driver = Some(cx.waker().clone());
        Poll::Pending
    })
    .await
}

/// A pair of sockets by which a task learns that the poller was asked.
struct Poller {
    near: UnixStream,
    far: UnixStream,
}

impl Poller {
    fn new() -> io::Result<Self> {
        let (near, far) = UnixStream::pair()?;
        Ok(Self { near, far })
    }

    /// Returns once the poller was asked: the read comes first and finds nothing, so that only the
    /// poller can tell of the byte written after it.
    async fn ask(&mut self) {
        let read = self.near.read(vec![0_u8; 1]);
        let write = self.far.write_all(vec![0_u8; 1]);
        // Both ends are held here, so that neither can fail; if one did, turns would go on unasked.
        let _ = join(read, write).await;
    }
}
