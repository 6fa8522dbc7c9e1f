//! An attempt at a model engine: queued, sent, and its answer taken whole or passed on.
//!
//! `whole` reads answers that are not streamed, and errors; `relay` passes a stream's events on.

mod relay;
mod whole;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use pumicecleat_net::Sent;
use pumicecleat_ops::{DrainGuard, events, field};
use pumicecleat_types::{Frame, HeaderField, Lora, Millis, Ran, Reason, RunRequest};
use pumicecleat_upstream::{CallError, ChatCall, Engine};

use relay::Relay;

use super::{Frames, RETRY_MS, refusal};
use crate::dispatch::{Decision, JobSpec, Ticket};
use crate::state::{State, Work};

/// Frames of one attempt.
pub(super) fn run(
    state: Rc<State>,
    work: Work,
    engine: Rc<dyn Engine>,
    lora: Lora,
    request: RunRequest,
) -> Frames {
    // Boxed, as each frame would move it twice.
    let run = Box::new(ModelRun {
        until: state.timer.now() + Millis(request.head.left_ms),
        guard: state.drain.enter(&request.head.request),
        name: lora.engine_name(),
        state,
        work,
        engine,
        lora,
        request,
        step: Step::Start,
        ended: false,
    });
    Box::pin(stream::unfold(run, |mut run| async {
        let frame = run.next().await?;
        Some((frame, run))
    }))
}

struct ModelRun {
    state: Rc<State>,
    work: Work,
    engine: Rc<dyn Engine>,
    request: RunRequest,
    lora: Lora,
    /// Engine name of the adapter and version.
    name: String,
    until: Millis,
    step: Step,
    /// The last frame was given.
    ended: bool,
    #[allow(dead_code, reason = "held until the run ends")]
    guard: DrainGuard,
}

enum Step {
    Start,
    Relay(Box<Relay>),
    Rest(VecDeque<Frame>),
    Over,
}

impl ModelRun {
    /// Next frame, or `None` after the last.
    async fn next(&mut self) -> Option<Frame> {
        let frame = self.advance().await;
        self.ended = !matches!(frame, Some(Frame::Head { .. } | Frame::Data { .. }));
        frame
    }

    async fn advance(&mut self) -> Option<Frame> {
        match std::mem::replace(&mut self.step, Step::Over) {
            Step::Start => Some(self.begin().await),
            Step::Relay(relay) => Some(self.relay(relay).await),
            Step::Rest(mut frames) => {
                let frame = frames.pop_front()?;
                self.step = Step::Rest(frames);
                Some(frame)
            }
            Step::Over => None,
        }
    }

    async fn begin(&mut self) -> Frame {
        let mut ticket = match self.queue().await {
            Ok(ticket) => ticket,
            Err(frame) => return frame,
        };
        let head = &self.request.head;
        let call = ChatCall {
            request: head.request.clone(),
            attempt: head.attempt,
            body: Bytes::from(std::mem::take(&mut self.request.body)),
            stream: head.stream,
        };
        match self.engine.chat(call, self.left()).await {
            Ok(answer) => self.open(ticket, answer).await,
            Err(e) => self.fail_call(&mut ticket, &e),
        }
    }

    async fn queue(&self) -> Result<Ticket, Frame> {
        let head = &self.request.head;
        let spec = JobSpec {
            lora: Some(&self.lora),
            caller: head.caller.as_str(),
            claim: self.state.claim_of(head),
            priority: head.priority,
            time_left: Millis(head.left_ms),
            tokens: self.state.lengths.expect(head.tokens),
        };
        let from = self.state.timer.now();
        let submitted = self.work.dispatcher.submit(&spec);
        let mut ticket = submitted.map_err(|g| self.give_up(g.reason, g.retry_after))?;
        let word = ticket.wait().await;
        let waited = self.state.timer.now().since(from);
        self.state.metrics.wait_seconds.observe(waited.as_secs());
        match word {
            Decision::Send => Ok(ticket),
            Decision::Refused(g) => Err(self.give_up(g.reason, g.retry_after)),
        }
    }

    fn give_up(&self, reason: Reason, retry: Millis) -> Frame {
        let refusal = refusal(reason, retry.0, "the queue can't meet it");
        self.state.refused(&self.request.head, refusal)
    }

    fn fail_call(&self, ticket: &mut Ticket, error: &CallError) -> Frame {
        let detail = error.to_string();
        match error.sent() {
            Sent::No => {
                ticket.finish(false);
                let refusal = refusal(Reason::UpstreamDown, RETRY_MS, detail);
                self.state.refused(&self.request.head, refusal)
            }
            // The ticket is dropped unfinished: the engine may still run it for a moment.
            Sent::Maybe => self.broken(Ran::Unknown, "call engine", &detail),
        }
    }

    fn broken(&self, ran: Ran, step: &str, detail: &str) -> Frame {
        self.state.broken(&self.request.head, ran, step, detail)
    }

    fn head(&self, status: u16, kind: &str) -> Frame {
        Frame::Head {
            request: self.request.head.request.clone(),
            attempt: self.request.head.attempt,
            model: Some(self.name.clone()),
            status,
            headers: vec![HeaderField {
                name: "content-type".to_owned(),
                value: kind.to_owned(),
            }],
            replayed: false,
        }
    }

    fn left(&self) -> Duration {
        let left = self.until.since(self.state.timer.now());
        Duration::from_millis(left.0)
    }
}

impl Drop for ModelRun {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.state.metrics.cancelled.inc();
        let head = &self.request.head;
        let fields = [
            field("request", &head.request),
            field("attempt", head.attempt),
            field("target", &self.name),
        ];
        self.state.log.emit(&events::RUN_CANCELLED, &fields);
    }
}
