//! An attempt at a model engine.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use pumicecleat_net::{BodyError, Sent};
use pumicecleat_ops::{DrainGuard, events, field};
use pumicecleat_types::{Frame, HeaderField, Lora, Millis, Ran, Reason, RunRequest};
use pumicecleat_upstream::{
    Answer, AnswerError, AnswerFault, CallError, ChatCall, Engine, Expect, StreamCheck,
    StreamEvent, check_whole, read_answer,
};

use super::{ANSWER_LIMIT, Frames, RETRY_MS, refusal, whole_frames};
use crate::state::{State, Work};
use crate::station::{Demand, Ticket, Word};

/// Longest event of a stream, bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Time for an engine to end its body after the last event.
const CLOSE_SPAN: Duration = Duration::from_millis(100);

/// Frames of one attempt.
pub(super) fn run(
    state: Rc<State>,
    work: Work,
    engine: Rc<dyn Engine>,
    lora: Lora,
    request: RunRequest,
) -> Frames {
    let run = ModelRun {
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
    };
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

/// A stream on its way.
struct Relay {
    ticket: Ticket,
    answer: Box<dyn Answer>,
    check: StreamCheck,
    /// Events passed on; about one a token.
    events: u32,
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
        let demand = Demand {
            lora: Some(&self.lora),
            caller: head.caller.as_str(),
            claim: self.state.claim_of(head),
            priority: head.priority,
            left: Millis(head.left_ms),
            tokens: self.state.lengths.expect(head.tokens),
        };
        let from = self.state.timer.now();
        let submitted = self.work.station.submit(&demand);
        let mut ticket = submitted.map_err(|g| self.give_up(g.reason, g.retry))?;
        let word = ticket.wait().await;
        let waited = self.state.timer.now().since(from);
        self.state.metrics.wait_seconds.observe(waited.as_secs());
        match word {
            Word::Go => Ok(ticket),
            Word::Refused(g) => Err(self.give_up(g.reason, g.retry)),
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

    async fn open(&mut self, ticket: Ticket, answer: Box<dyn Answer>) -> Frame {
        match answer.status() {
            200 if self.request.head.stream => {
                let check = StreamCheck::new(self.expect(answer.peer()), EVENT_LIMIT);
                self.step = Step::Relay(Box::new(Relay {
                    ticket,
                    answer,
                    check,
                    events: 0,
                }));
                self.head(200, "text/event-stream")
            }
            200 => self.read_whole(ticket, answer).await,
            status => self.read_error(ticket, answer, status).await,
        }
    }

    async fn read_whole(&mut self, mut ticket: Ticket, mut answer: Box<dyn Answer>) -> Frame {
        let peer = answer.peer().to_owned();
        let reading = read_answer(answer.as_mut(), ANSWER_LIMIT);
        let body = match self.state.timer.within(self.left(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return self.broken(Ran::Unknown, "read answer", &e.to_string()),
            Err(_) => return self.broken(Ran::Unknown, "read answer", "deadline passed"),
        };
        ticket.finish(true);
        match check_whole(self.expect(&peer), &body) {
            Ok(whole) => self.note_length(whole.usage.map(|u| u.completion)),
            Err(e) => return self.wrong_answer(&e),
        }
        self.state.metrics.whole.inc();
        self.step = Step::Rest(whole_frames(&self.state, &body).into());
        self.head(200, "application/json")
    }

    /// What an answer must name: engines end its id in the request's.
    fn expect<'a>(&'a self, peer: &'a str) -> Expect<'a> {
        Expect {
            peer,
            model: &self.name,
            request: Some(self.request.head.request.as_str()),
        }
    }

    fn note_length(&self, tokens: Option<u64>) {
        if let Some(tokens) = tokens {
            let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
            self.state.lengths.note(tokens);
        }
    }

    /// An answer that is an error by its status: the engine ran nothing, but for those of 500 on.
    async fn read_error(
        &mut self,
        mut ticket: Ticket,
        mut answer: Box<dyn Answer>,
        status: u16,
    ) -> Frame {
        let body = read_answer(answer.as_mut(), ANSWER_LIMIT)
            .await
            .unwrap_or_default();
        ticket.finish(false);
        let text = String::from_utf8_lossy(&body).into_owned();
        match status {
            // What it was believed to hold is not there: the watch finds out.
            404 => self.refuse(Reason::UpstreamDown, &text),
            429 | 503 => self.refuse(Reason::Overloaded, &text),
            400..=499 => {
                self.step = Step::Rest(whole_frames(&self.state, &body).into());
                self.head(status, "application/json")
            }
            _ => self.broken(
                Ran::Unknown,
                "call engine",
                &format!("status {status}: {text}"),
            ),
        }
    }

    fn refuse(&self, reason: Reason, detail: &str) -> Frame {
        let refusal = refusal(reason, RETRY_MS, detail);
        self.state.refused(&self.request.head, refusal)
    }

    /// Next frame of a stream: the events that are here, or the next ones that come.
    async fn relay(&mut self, mut relay: Box<Relay>) -> Frame {
        loop {
            match relay.scan_events() {
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => {
                    if relay.check.is_done() {
                        self.close(relay).await;
                    } else {
                        self.step = Step::Relay(relay);
                    }
                    return Frame::Data { bytes };
                }
                Err(e) => return self.wrong_answer(&e),
            }
            let stall = self.state.settings.stall.0;
            let piece = self.state.timer.within(stall, relay.answer.next()).await;
            match piece {
                Ok(Some(Ok(piece))) => relay.check.push(&piece),
                Ok(Some(Err(e))) => return self.cut(&e),
                Ok(None) => return self.end_early(&mut relay),
                Err(_) => return self.broken(Ran::Yes, "read stream", "engine stalled"),
            }
        }
    }

    /// The last event is here; the body's end lets the connection be used again.
    async fn close(&mut self, mut relay: Box<Relay>) {
        // Without a proper end the connection is closed instead; the answer is whole either way.
        let _ = self
            .state
            .timer
            .within(CLOSE_SPAN, relay.answer.next())
            .await;
        relay.ticket.finish(true);
        self.state.lengths.note(relay.events);
        self.state.metrics.whole.inc();
        let end = Frame::End {
            load: Some(self.work.station.figures()),
        };
        self.step = Step::Rest(VecDeque::from([end]));
    }

    fn end_early(&self, relay: &mut Relay) -> Frame {
        relay.ticket.finish(false);
        match relay.check.finish() {
            Err(e) => self.wrong_answer(&e),
            Ok(()) => self.broken(Ran::Yes, "read stream", "ended early"),
        }
    }

    fn cut(&self, error: &BodyError) -> Frame {
        self.broken(Ran::Yes, "read stream", &error.to_string())
    }

    fn wrong_answer(&self, error: &AnswerError) -> Frame {
        if let AnswerFault::Model { expected, found } = &error.source {
            self.state.metrics.mismatched.inc();
            let head = &self.request.head;
            let fields = [
                field("request", &head.request),
                field("attempt", head.attempt),
                field("asked", expected),
                field("answered", found),
            ];
            self.state.log.emit(&events::MODEL_MISMATCH, &fields);
        }
        self.broken(Ran::Yes, "check answer", &error.to_string())
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

impl Relay {
    /// Bytes of all events that are whole, in a row.
    fn scan_events(&mut self) -> Result<Vec<u8>, AnswerError> {
        let mut bytes = Vec::new();
        while let Some(event) = self.check.scan_event()? {
            self.events = self.events.saturating_add(1);
            let raw = match event {
                StreamEvent::Chunk(chunk) => chunk.raw,
                StreamEvent::Done { raw } => raw,
            };
            if bytes.is_empty() {
                bytes = raw;
            } else {
                bytes.extend_from_slice(&raw);
            }
        }
        Ok(bytes)
    }
}
