//! Tickets of requests that are in the queue or at the upstream.

use async_channel::{Receiver, Sender};
use pumicecleat_policy::{JobId, JobRefusal};
use pumicecleat_types::{Millis, Reason};

use super::Dispatcher;

/// The scheduler's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Send it now.
    Send,
    /// The request was not run.
    Refused(JobRefusal),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Sent,
    Ended,
}

/// A request's entry in the scheduler, withdrawn or ended when dropped.
pub(crate) struct Ticket {
    dispatcher: Dispatcher,
    id: JobId,
    decision: Receiver<Decision>,
    stage: Stage,
}

impl Ticket {
    pub(super) fn new(dispatcher: &Dispatcher, id: JobId) -> (Sender<Decision>, Self) {
        let (sender, decision) = async_channel::bounded(1);
        let ticket = Self {
            dispatcher: dispatcher.clone(),
            id,
            decision,
            stage: Stage::Waiting,
        };
        (sender, ticket)
    }

    /// Waits for the scheduler's decision.
    pub(crate) async fn wait(&mut self) -> Decision {
        let decision = self
            .decision
            .recv()
            .await
            .unwrap_or(Decision::Refused(JobRefusal {
                reason: Reason::UpstreamDown,
                retry_after: Millis(1_000),
            }));
        self.stage = match decision {
            Decision::Send => Stage::Sent,
            Decision::Refused(_) => Stage::Ended,
        };
        decision
    }

    /// Reports that the answer ended. `whole` is false if it was cut or the upstream never
    /// accepted the request.
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
            Stage::Sent => self.dispatcher.finish_after_abort(self.id),
            Stage::Ended => {}
        }
    }
}

impl Ticket {
    fn leave_queue(&self) {
        match self.decision.try_recv() {
            // The scheduler counts it as sent, but nothing has gone to the upstream yet.
            Ok(Decision::Send) => self.dispatcher.finish(self.id, false),
            Ok(Decision::Refused(_)) => {}
            Err(_) => self.dispatcher.withdraw(self.id),
        }
    }
}
