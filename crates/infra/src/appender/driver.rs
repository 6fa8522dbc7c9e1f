//! The loop that appends, one batch in flight at a time.

use std::cell::RefCell;
use std::rc::Rc;

use async_channel::Receiver;
use pumicecleat_net::Timer;

use super::pace::Pace;
use super::queue::{Entry, Queue, Taken};
use super::{AppendOptions, AppendedRecord, SubmitError};
use crate::{AppendError, Appended, Log};

pub(super) struct Driver {
    pub(super) log: Rc<dyn Log>,
    pub(super) timer: Timer,
    pub(super) stream: String,
    pub(super) queue: Rc<RefCell<Queue>>,
    pub(super) pace: Pace,
    pub(super) options: AppendOptions,
}

impl Driver {
    /// Appends until all appenders are gone and nothing waits.
    pub(super) async fn run(mut self, woken: Receiver<()>) {
        while woken.recv().await.is_ok() {
            self.drain().await;
        }
        self.drain().await;
    }

    async fn drain(&mut self) {
        while self.queue.borrow().len() > 0 {
            self.timer.sleep_until(self.pace.due).await;
            let taken = self.queue.borrow_mut().take(&self.options);
            if !taken.is_empty() {
                self.append(taken).await;
            }
        }
    }

    async fn append(&mut self, taken: Taken) {
        self.pace.start(self.timer.now());
        let records = taken.values().map(|e| e.record.clone()).collect();
        match self.log.append(&self.stream, records).await {
            Ok(appended) => {
                self.pace.speed_up();
                tell_stood(taken, appended);
            }
            Err(error) => self.fail(taken, error),
        }
    }

    fn fail(&mut self, taken: Taken, error: AppendError) {
        let pushback = error.is_pushback();
        if pushback {
            self.pace.slow_down(self.timer.now(), error.retry_after());
        }
        let error = Rc::new(error);
        for (id, entry) in taken {
            if pushback && entry.retries < self.options.max_retries {
                self.queue.borrow_mut().put_back(id, entry);
            } else {
                tell(&entry, Err(SubmitError::new(&error)));
            }
        }
    }
}

fn tell_stood(taken: Taken, appended: Appended) {
    let Appended { first, at } = appended;
    for (offset, entry) in (first..).zip(taken.into_values()) {
        tell(&entry, Ok(AppendedRecord { offset, at }));
    }
}

fn tell(entry: &Entry, outcome: Result<AppendedRecord, SubmitError>) {
    // A submitter that left does not want to know.
    let _ = entry.reply.try_send(outcome);
}
