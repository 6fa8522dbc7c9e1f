//! Group commit: batches the records of many tasks into one append, with one append in flight at a
//! time.
//!
//! Dropping the future of a record withdraws the record if its batch has not been sent. A batch that
//! the log rejects because of its rate limit returns to the queue, where its records can be
//! withdrawn again.

mod driver;
mod outcome;
mod pacer;
mod queue;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use pumicecleat_net::Timer;

use crate::Log;
use driver::Driver;
pub use outcome::{AppendedRecord, SubmitError};
use pacer::Pacer;
use queue::{Outcome, Queue};

/// Options of an [`Appender`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendOptions {
    /// Maximum number of queued records.
    pub queue: usize,
    /// Maximum number of records in one append.
    pub records: usize,
    /// Maximum number of bytes in one append; a single longer record is sent by itself.
    pub bytes: usize,
    /// Minimum time between the starts of two appends.
    pub interval: Duration,
    /// Upper bound of that time when pushback from the log increases it.
    pub max_interval: Duration,
    /// Number of times that a record returns to the queue after pushback.
    pub max_retries: u32,
    /// Seed of the jitter; should differ between processes.
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

/// Appends records to one stream. Clones share the queue; queued records are still appended after
/// the last clone is dropped.
#[derive(Clone)]
pub struct Appender {
    queue: Rc<RefCell<Queue>>,
    wake: Sender<()>,
    min_interval: Rc<Cell<Duration>>,
}

impl Appender {
    /// Spawns the task that appends to `stream` on the runtime of this thread.
    #[must_use]
    pub fn start(log: Rc<dyn Log>, timer: &Timer, stream: &str, options: AppendOptions) -> Self {
        let (wake, wake_ups) = async_channel::bounded(1);
        let queue = Rc::new(RefCell::new(Queue::new(options.queue)));
        let min_interval = Rc::new(Cell::new(options.interval));
        let driver = Driver {
            log,
            timer: timer.clone(),
            stream: stream.to_owned(),
            queue: Rc::clone(&queue),
            pacer: Pacer::new(options, Rc::clone(&min_interval)),
            options,
        };
        monoio::spawn(driver.run(wake_ups));
        Self {
            queue,
            wake,
            min_interval,
        }
    }

    /// Sets the minimum time between the starts of two appends, overriding the option.
    pub fn set_interval(&self, interval: Duration) {
        self.min_interval.set(interval);
    }

    /// Appends `record` and returns its offset.
    ///
    /// # Errors
    /// [`SubmitError`]: with `Lost` and `Closed` the record may have been appended, with the others it
    /// was not.
    pub async fn append(&self, record: Vec<u8>) -> Result<AppendedRecord, SubmitError> {
        let pending = self.submit(record)?;
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake.try_send(());
        let outcome = pending.outcome.recv().await;
        outcome.unwrap_or(Err(SubmitError::Closed))
    }

    /// Number of queued records.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.borrow().len()
    }

    fn submit(&self, record: Vec<u8>) -> Result<PendingRecord, SubmitError> {
        let (reply, outcome) = async_channel::bounded(1);
        let id = self.queue.borrow_mut().push(record, reply)?;
        let queue = Rc::clone(&self.queue);
        Ok(PendingRecord { queue, id, outcome })
    }
}

/// Submitted record; dropping it withdraws the record if it is still queued.
struct PendingRecord {
    queue: Rc<RefCell<Queue>>,
    id: u64,
    outcome: Receiver<Outcome>,
}

impl Drop for PendingRecord {
    fn drop(&mut self) {
        self.queue.borrow_mut().withdraw(self.id);
    }
}
