//! Watch over work that must not stand still, such as a stream whose pieces each have a time limit.
//!
//! A subscription to the timer service for each piece would be made and given up for every token.
//! One is kept instead: once it ends, the work is looked at again, and if the last piece is not yet
//! too long ago a new one is made for what is left.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use crate::timer::{Elapsed, LONGEST, Sleep, Timer};

/// Watch over the parts of one work.
pub struct Stall {
    timer: Timer,
    span: Duration,
    kept: Option<Kept>,
}

struct Kept {
    sleep: Pin<Box<Sleep>>,
    /// Who is woken at its end.
    waker: Waker,
}

impl Stall {
    /// Watch that gives each part at most `span`.
    #[must_use]
    pub fn new(timer: &Timer, span: Duration) -> Self {
        Self {
            timer: timer.clone(),
            span: span.min(LONGEST),
            kept: None,
        }
    }

    /// Longest time of a part.
    #[must_use]
    pub fn span(&self) -> Duration {
        self.span
    }

    /// Result of the next part of the work, if it ends within the span from now.
    ///
    /// # Errors
    /// [`Elapsed`] if it does not; the part is dropped then.
    pub async fn within<F: Future>(&mut self, part: F) -> Result<F::Output, Elapsed> {
        let end = Instant::now() + self.span;
        let mut part = pin!(part);
        poll_fn(|cx| {
            if let Poll::Ready(out) = part.as_mut().poll(cx) {
                return Poll::Ready(Ok(out));
            }
            self.poll_end(end, cx).map(|()| Err(Elapsed))
        })
        .await
    }

    fn poll_end(&mut self, end: Instant, cx: &mut Context<'_>) -> Poll<()> {
        let now = Instant::now();
        if now >= end {
            return Poll::Ready(());
        }
        let kept = self.kept.as_ref();
        // One that ends before `end` has its end looked at then.
        if kept.is_some_and(|k| k.sleep.at() > now && k.waker.will_wake(cx.waker())) {
            return Poll::Pending;
        }
        let mut sleep = Box::pin(self.timer.subscribe(end));
        let ended = sleep.as_mut().poll(cx);
        let waker = cx.waker().clone();
        self.kept = Some(Kept { sleep, waker });
        ended
    }
}
