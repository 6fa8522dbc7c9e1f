//! Requests during a planned stop: those that can't be finished before the process ends are refused, not sent.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{Either, select};
use pumicecleat_net::Reply;
use pumicecleat_types::Millis;

use super::job::Job;
use super::refuse::{REFUSED, Refusal, unknown_reply};

/// Status of a request that was sent and has no response when the process ends.
const UNKNOWN: u16 = 502;

/// Status of a request without a response when the process ends.
pub(super) fn stopped_status(attempts: u32) -> u16 {
    if attempts == 0 { REFUSED } else { UNKNOWN }
}

/// Response of `serve`, or a final one if there is none when the process ends.
pub(super) async fn until_stop<F: Future<Output = Reply>>(
    job: Job,
    serve: impl FnOnce(Job) -> F,
) -> Reply {
    let shared = Rc::clone(&job.shared);
    let attempts = job.trace.attempts();
    let served = pin!(serve(job));
    let ending = pin!(shared.stop.ending());
    match select(served, ending).await {
        Either::Left((reply, _)) => reply,
        // Dropping the request closes its connection to the upstream, and logs its end.
        Either::Right(_) => match stopped_status(attempts.get()) {
            REFUSED => Refusal::stopping().unlogged_reply(),
            status => unknown_reply(status),
        },
    }
}

impl Job {
    /// Time for which the request may still wait before it is sent; `None` if no stop was requested.
    pub(super) fn send_time_left(&self) -> Option<Millis> {
        let latest = self.trace.latest_send(self.time_left())?;
        Some(latest.since(self.shared.timer.now()))
    }

    /// Whether its response would not be whole before the process ends.
    pub(super) fn is_too_late(&self) -> bool {
        self.send_time_left() == Some(Millis(0))
    }
}
