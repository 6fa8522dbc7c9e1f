//! An attempt at a model engine: queued, sent, and its answer read whole or passed on as a stream.
//!
//! `whole` reads answers that are not streamed, and error answers; `relay` passes on the events of
//! a stream.

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

use super::{DEFAULT_RETRY_MS, Frames, refusal};
use crate::dispatch::{Decision, JobSpec, Ticket};
use crate::state::{Backend, State};

/// Frames of one attempt.
pub(super) fn run(
    state: Rc<State>,
    backend: Backend,
    engine: Rc<dyn Engine>,
    lora: Lora,
    request: RunRequest,
) -> Frames {
    // Boxed, as otherwise each frame would move it twice.
    let run = Box::new(ModelRun {
        deadline: state.timer.now() + Millis(request.head.time_left_ms),
        guard: state.drain.track(&request.head.request),
        engine_name: lora.engine_name(),
        state,
        backend,
        engine,
        lora,
        request,
        step: Step::Start,
        ended: false,
    });
    Box::pin(stream::unfold(run, |mut run| async {
        let frame = run.next_frame().await?;
        Some((frame, run))
    }))
}

struct ModelRun {
    state: Rc<State>,
    backend: Backend,
    engine: Rc<dyn Engine>,
    request: RunRequest,
    lora: Lora,
    /// Engine name of the adapter and version.
    engine_name: String,
    deadline: Millis,
    step: Step,
    /// Whether the last frame was returned.
    ended: bool,
    #[allow(dead_code, reason = "held until the run ends")]
    guard: DrainGuard,
}

enum Step {
    Start,
    Relay(Box<Relay>),
    /// Frames that are still to be returned.
    Remaining(VecDeque<Frame>),
    Done,
}

impl ModelRun {
    /// Next frame, or `None` after the last one.
    async fn next_frame(&mut self) -> Option<Frame> {
        let frame = self.advance().await;
        self.ended = !matches!(frame, Some(Frame::Head { .. } | Frame::Data { .. }));
        frame
    }

    async fn advance(&mut self) -> Option<Frame> {
        match std::mem::replace(&mut self.step, Step::Done) {
            Step::Start => Some(self.begin().await),
            Step::Relay(relay) => Some(self.relay(relay).await),
            Step::Remaining(mut frames) => {
                let frame = frames.pop_front()?;
                self.step = Step::Remaining(frames);
                Some(frame)
            }
            Step::Done => None,
        }
    }

    async fn begin(&mut self) -> Frame {
        let mut ticket = match self.enqueue().await {
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
        match self.engine.chat(call, self.time_left()).await {
            Ok(answer) => self.begin_answer(ticket, answer).await,
            Err(e) => self.call_failed(&mut ticket, &e),
        }
    }

    /// Queues the request and waits until it may be sent.
    async fn enqueue(&self) -> Result<Ticket, Frame> {
        let head = &self.request.head;
        let spec = JobSpec {
            lora: Some(&self.lora),
            caller: head.caller.as_str(),
            claim: self.state.caller_claim(head),
            priority: head.priority,
            time_left: Millis(head.time_left_ms),
            tokens: self.state.answer_lengths.expected_tokens(head.max_tokens),
        };
        let queued_at = self.state.timer.now();
        let submitted = self.backend.dispatcher.submit(&spec);
        let mut ticket = submitted.map_err(|r| self.refuse_job(r.reason, r.retry_after))?;
        let decision = ticket.wait().await;
        let waited = self.state.timer.now().since(queued_at);
        self.state.metrics.wait_seconds.observe(waited.as_secs());
        match decision {
            Decision::Send => Ok(ticket),
            Decision::Refused(r) => Err(self.refuse_job(r.reason, r.retry_after)),
        }
    }

    fn refuse_job(&self, reason: Reason, retry_after: Millis) -> Frame {
        let refusal = refusal(reason, retry_after.0, "the queue can't meet it");
        self.state.refusal_frame(&self.request.head, refusal)
    }

    fn call_failed(&self, ticket: &mut Ticket, error: &CallError) -> Frame {
        let detail = error.to_string();
        match error.sent() {
            Sent::No => {
                ticket.finish(false);
                let refusal = refusal(Reason::UpstreamDown, DEFAULT_RETRY_MS, detail);
                self.state.refusal_frame(&self.request.head, refusal)
            }
            // The ticket is dropped unfinished: the engine may still run the request for a moment.
            Sent::Maybe => self.broken_frame(Ran::Unknown, "call engine", &detail),
        }
    }

    fn broken_frame(&self, ran: Ran, step: &str, detail: &str) -> Frame {
        self.state
            .broken_frame(&self.request.head, ran, step, detail)
    }

    fn head_frame(&self, status: u16, content_type: &str) -> Frame {
        Frame::Head {
            request: self.request.head.request.clone(),
            attempt: self.request.head.attempt,
            model: Some(self.engine_name.clone()),
            status,
            headers: vec![HeaderField {
                name: "content-type".to_owned(),
                value: content_type.to_owned(),
            }],
            replayed: false,
        }
    }

    fn time_left(&self) -> Duration {
        let time_left = self.deadline.since(self.state.timer.now());
        Duration::from_millis(time_left.0)
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
            field("target", &self.engine_name),
        ];
        self.state.log.emit(&events::RUN_CANCELLED, &fields);
    }
}
