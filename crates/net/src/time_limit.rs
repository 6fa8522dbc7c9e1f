//! A time limit for the whole of a body, which is read part by part.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;

use crate::timer::{Elapsed, Sleep, Timer};

/// Time limit of a body.
pub(crate) struct TimeLimit {
    sleep: Pin<Box<Sleep>>,
    span: Duration,
}

impl TimeLimit {
    /// Limit that ends after `span`.
    pub(crate) fn new(timer: &Timer, span: Duration) -> Self {
        Self {
            sleep: Box::pin(timer.sleep(span)),
            span,
        }
    }

    /// Time from the start to the end of the limit.
    pub(crate) fn span(&self) -> Duration {
        self.span
    }

    /// Result of `part` if the limit has not ended, whether or not `part` is ready.
    pub(crate) async fn within<F: Future>(&mut self, part: F) -> Result<F::Output, Elapsed> {
        let mut part = pin!(part);
        poll_fn(|cx| {
            if self.sleep.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Err(Elapsed));
            }
            part.as_mut().poll(cx).map(Ok)
        })
        .await
    }
}
