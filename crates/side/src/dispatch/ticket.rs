//! A request's place in the queue and at the upstream.

use async_channel::{Receiver, Sender};
use pumicecleat_policy::{JobId, JobRefusal};
use pumicecleat_types::{Millis, Reason};

use super::Dispatcher;

/// The scheduler's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Send it now.
    Go,
    /// Not run.
    Refused(JobRefusal),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Sent,
    Ended,
}

/// A request's place, given back when dropped.
pub(crate) struct Ticket {
    dispatcher: Dispatcher,
    id: JobId,
    word: Receiver<Decision>,
    stage: Stage,
}

impl Ticket {
    pub(super) fn new(dispatcher: &Dispatcher, id: JobId) -> (Sender<Decision>, Self) {
        let (sender, word) = async_channel::bounded(1);
        let ticket = Self {
            dispatcher: dispatcher.clone(),
            id,
            word,
            stage: Stage::Waiting,
        };
        (sender, ticket)
    }

    /// The scheduler's word, once it is given.
    pub(crate) async fn wait(&mut self) -> Decision {
        let word = self
            .word
            .recv()
            .await
            .unwrap_or(Decision::Refused(JobRefusal {
                reason: Reason::UpstreamDown,
                retry_after: Millis(1_000),
            }));
        self.stage = match word {
            Decision::Go => Stage::Sent,
            Decision::Refused(_) => Stage::Ended,
        };
        word
    }

    /// The answer ended, whole or by the upstream's own end of it.
    pub(crate) fn finish(&mut self, whole: bool) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Ended;
            self.dispatcher.finish(self.id, whole);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        match self.stage {
            Stage::Waiting => self.leave_queue(),
            Stage::Sent => self.dispatcher.finish_later(self.id),
            Stage::Ended => {}
        }
    }
}

impl Ticket {
    fn leave_queue(&self) {
        match self.word.try_recv() {
            // Sent between the word and this drop: nothing has gone to the upstream yet.
            Ok(Decision::Go) => self.dispatcher.finish(self.id, false),
            Ok(Decision::Refused(_)) => {}
            Err(_) => self.dispatcher.withdraw(self.id),
        }
    }
}
