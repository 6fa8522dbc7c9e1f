//! Group commit: many tasks' records ride in one append, one append in flight at a time.
//!
//! A record is withdrawn by dropping its future, as long as its batch has not left. A batch that
//! the log refused for its rate alone goes back to the queue, where it can be withdrawn again.

mod driver;
mod outcome;
mod pace;
mod queue;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use pumicecleat_net::Timer;

use crate::Log;
use driver::Driver;
pub use outcome::{AppendedRecord, SubmitError};
use pace::Pace;
use queue::{Outcome, Queue};

/// How records are appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendOptions {
    /// Records waiting at most.
    pub queue: usize,
    /// Records of one append.
    pub records: usize,
    /// Bytes of one append, unless one record alone is longer.
    pub bytes: usize,
    /// Shortest time from one append's start to the next.
    pub interval: Duration,
    /// Longest such time that the log's pushback leads to.
    pub max_interval: Duration,
    /// Times that a record goes back to the queue after pushback.
    pub max_retries: u32,
    /// Seed of the jitter; processes should differ in it.
    pub seed: u64,
}

impl Default for AppendOptions {
    fn default() -> Self {
        Self {
            queue: 4096,
            records: 512,
            bytes: 1 << 20,
            interval: Duration::from_millis(10),
            max_interval: Duration::from_secs(2),
            max_retries: 3,
            seed: 0,
        }
    }
}

/// Appends records of one stream. Clones share the queue; once the last is gone, what is queued
/// is still appended.
#[derive(Clone)]
pub struct Appender {
    queue: Rc<RefCell<Queue>>,
    wake: Sender<()>,
    least: Rc<Cell<Duration>>,
}

impl Appender {
    /// Starts appending to `stream` on this thread's loop.
    #[must_use]
    pub fn start(log: Rc<dyn Log>, timer: &Timer, stream: &str, options: AppendOptions) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        let queue = Rc::new(RefCell::new(Queue::new(options.queue)));
        let least = Rc::new(Cell::new(options.interval));
        let driver = Driver {
            log,
            timer: timer.clone(),
            stream: stream.to_owned(),
            queue: Rc::clone(&queue),
            pace: Pace::new(options, Rc::clone(&least)),
            options,
        };
        monoio::spawn(driver.run(woken));
        Self { queue, wake, least }
    }

    /// Sets the shortest time from one append's start to the next, in place of the option.
    pub fn set_interval(&self, interval: Duration) {
        self.least.set(interval);
    }

    /// Appends `record` and tells where it stands.
    ///
    /// # Errors
    /// [`SubmitError`]: `Lost` if it may stand, else it does not.
    pub async fn append(&self, record: Vec<u8>) -> Result<AppendedRecord, SubmitError> {
        let ticket = self.submit(record)?;
        // A full channel holds a wake-up already.
        let _ = self.wake.try_send(());
        let outcome = ticket.outcome.recv().await;
        outcome.unwrap_or(Err(SubmitError::Closed))
    }

    /// Records that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.borrow().len()
    }

    fn submit(&self, record: Vec<u8>) -> Result<Ticket, SubmitError> {
        let (reply, outcome) = async_channel::bounded(1);
        let id = self.queue.borrow_mut().push(record, reply)?;
        let queue = Rc::clone(&self.queue);
        Ok(Ticket { queue, id, outcome })
    }
}

/// Place of a record in the queue; dropping it withdraws the record if it is still there.
struct Ticket {
    queue: Rc<RefCell<Queue>>,
    id: u64,
    outcome: Receiver<Outcome>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.queue.borrow_mut().withdraw(self.id);
    }
}
