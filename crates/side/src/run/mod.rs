//! Attempts from entries: checked, queued, run at the upstream, and answered in frames.
//!
//! The frames are pulled by the entry's connection, so an entry that goes away drops the attempt:
//! one that waits leaves the queue, one at an engine is aborted. A call that may not be repeated is
//! the exception: once sent it is seen through, so that its outcome is recorded.

mod gate;
mod model;
mod service;

use std::rc::Rc;

use futures_util::{StreamExt, stream};
use pumicecleat_net::{ByteStream, frame_bytes};
use pumicecleat_types::{Frame, Ran, Reason, Refusal, RunHead, RunRequest, Target};

use crate::state::{State, Upstream};

/// Longest answer that is not streamed, bytes.
const ANSWER_LIMIT: u64 = 16 << 20;
/// Longest piece in one frame, bytes.
const PIECE: usize = 64 << 10;
/// Span to come back after, where nothing better is known, milliseconds.
const RETRY_MS: u64 = 1_000;

/// Frames of the answer to `request`.
pub(crate) fn answer(state: &Rc<State>, request: RunRequest) -> ByteStream {
    state.metrics.runs.inc();
    let state = Rc::clone(state);
    let frames = stream::once(async move { start(state, request).await }).flatten();
    Box::pin(frames.map(|frame| Ok(frame_bytes(&frame))))
}

type Frames = std::pin::Pin<Box<dyn futures_util::Stream<Item = Frame>>>;

async fn start(state: Rc<State>, request: RunRequest) -> Frames {
    let work = match state.gate(&request.head).await {
        Ok(work) => work,
        Err(refusal) => return only(state.refused(&request.head, refusal)),
    };
    match (&request.head.target, &work.upstream) {
        (Target::Model(target), Upstream::Model(engine)) => {
            let lora = gate::lora_of(target);
            let engine = Rc::clone(engine);
            model::run(state, work, engine, lora, request)
        }
        (Target::Service(target), Upstream::Service(service, keys)) => {
            let target = target.clone();
            let place = service::Place {
                service: Rc::clone(service),
                keys: keys.clone(),
            };
            service::run(state, work, place, target, request)
        }
        _ => only(state.refused(
            &request.head,
            refusal(Reason::WrongPool, RETRY_MS, "pool of another kind"),
        )),
    }
}

fn only(frame: Frame) -> Frames {
    Box::pin(stream::iter([frame]))
}

/// Refusal without load figures.
fn refusal(reason: Reason, retry_ms: u64, detail: impl Into<String>) -> Refusal {
    Refusal {
        reason,
        retry_ms,
        detail: detail.into(),
        load: None,
    }
}

/// Data frames of a whole body, and the end.
fn whole_frames(state: &State, body: &[u8]) -> Vec<Frame> {
    let data = |piece: &[u8]| Frame::Data {
        bytes: piece.to_vec(),
    };
    let mut frames: Vec<Frame> = body.chunks(PIECE).map(data).collect();
    frames.push(Frame::End {
        load: state.figures(),
    });
    frames
}

impl State {
    fn figures(&self) -> Option<pumicecleat_types::LoadFigures> {
        self.backend().map(|w| w.dispatcher.figures())
    }

    /// Frame of a refusal, with figures, counted and logged.
    fn refused(&self, head: &RunHead, refusal: Refusal) -> Frame {
        use pumicecleat_ops::{events, field};
        self.metrics.refused.inc();
        let reason = format!("{:?}", refusal.reason);
        let target = target_name(&head.target);
        let fields = [
            field("request", &head.request),
            field("attempt", head.attempt),
            field("target", &target),
            field("reason", &reason),
        ];
        self.log.emit(&events::RUN_REFUSED, &fields);
        Frame::Refused(Refusal {
            load: self.figures(),
            ..refusal
        })
    }

    /// Frame of a broken answer, counted and logged.
    fn broken(&self, head: &RunHead, ran: Ran, step: &str, detail: &str) -> Frame {
        use pumicecleat_ops::{events, field};
        self.metrics.broken.inc();
        let target = target_name(&head.target);
        let told = format!("{ran:?}").to_lowercase();
        let fields = [
            field("request", &head.request),
            field("attempt", head.attempt),
            field("target", &target),
            field("step", step),
            field("ran", &told),
            field("error", detail),
        ];
        self.log.emit(&events::RUN_BROKEN, &fields);
        Frame::Broken {
            ran,
            step: step.to_owned(),
            detail: detail.to_owned(),
        }
    }
}

fn target_name(target: &Target) -> String {
    match target {
        Target::Model(m) => format!("{}@{}", m.adapter, m.version),
        Target::Service(s) => format!("{} {}", s.method, s.service),
    }
}
