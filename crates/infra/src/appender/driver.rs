//! Task that appends the queued records, one batch at a time.

use std::cell::RefCell;
use std::rc::Rc;

use async_channel::Receiver;
use pumicecleat_net::Timer;

use super::pacer::Pacer;
use super::queue::{Entry, EntryBatch, Queue};
use super::{AppendOptions, AppendedRecord, SubmitError};
use crate::{AppendError, Appended, Log};

pub(super) struct Driver {
    pub(super) log: Rc<dyn Log>,
    pub(super) timer: Timer,
    pub(super) stream: String,
    pub(super) queue: Rc<RefCell<Queue>>,
    pub(super) pacer: Pacer,
    pub(super) options: AppendOptions,
}

impl Driver {
    /// Appends until all appenders are dropped and the queue is empty.
    pub(super) async fn run(mut self, wake_ups: Receiver<()>) {
        while wake_ups.recv().await.is_ok() {
            self.drain().await;
        }
        self.drain().await;
    }

    async fn drain(&mut self) {
        while self.queue.borrow().len() > 0 {
            self.timer.sleep_until(self.pacer.next_start).await;
            let batch = self.queue.borrow_mut().take_batch(&self.options);
            if !batch.is_empty() {
                self.append(batch).await;
            }
        }
    }

    async fn append(&mut self, batch: EntryBatch) {
        self.pacer.record_start(self.timer.now());
        let records = batch.values().map(|e| e.record.clone()).collect();
        match self.log.append(&self.stream, records).await {
            Ok(appended) => {
                self.pacer.speed_up();
                reply_appended(batch, appended);
            }
            Err(error) => self.handle_error(batch, error),
        }
    }

    fn handle_error(&mut self, batch: EntryBatch, error: AppendError) {
        let pushback = error.is_pushback();
        if pushback {
            self.pacer.slow_down(self.timer.now(), error.retry_after());
        }
        let error = Rc::new(error);
        for (id, entry) in batch {
            if pushback && entry.retries < self.options.max_retries {
                self.queue.borrow_mut().requeue(id, entry);
            } else {
                reply(&entry, Err(SubmitError::new(&error)));
            }
        }
    }
}

fn reply_appended(batch: EntryBatch, appended: Appended) {
    let Appended { first, at } = appended;
    for (offset, entry) in (first..).zip(batch.into_values()) {
        reply(&entry, Ok(AppendedRecord { offset, at }));
    }
}

fn reply(entry: &Entry, outcome: Result<AppendedRecord, SubmitError>) {
    // Fails if the submitter has cancelled, which needs no handling.
    let _ = entry.reply.try_send(outcome);
}
