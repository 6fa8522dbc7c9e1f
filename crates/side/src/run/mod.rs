//! Attempts from entries: checked, queued, run at the upstream, and answered in frames.
//!
//! The entry's connection pulls the frames, so an attempt is dropped if its entry disconnects: a
//! waiting one leaves the queue, one at an engine is aborted. A non-idempotent call is the
//! exception: once sent, it runs to its end, so that its outcome is recorded.

mod admission;
mod model;
mod service;

use std::rc::Rc;

use futures_util::{StreamExt, stream};
use pumicecleat_net::{ByteStream, frame_bytes};
use pumicecleat_types::{Frame, Ran, Reason, Refusal, RunHead, RunRequest, Target};

use crate::state::{State, Upstream};

/// Longest answer that is not streamed.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Longest data of one frame.
const MAX_DATA_BYTES: usize = 64 << 10;
/// Delay before a retry, if no better value is known.
const DEFAULT_RETRY_MS: u64 = 1_000;

/// Runs the attempt of `request`, and returns the frames of the answer.
pub(crate) fn answer(state: &Rc<State>, request: RunRequest) -> ByteStream {
    state.metrics.runs.inc();
    let state = Rc::clone(state);
    let frames = stream::once(async move { start(state, request).await }).flatten();
    Box::pin(frames.map(|frame| Ok(frame_bytes(&frame))))
}

type Frames = std::pin::Pin<Box<dyn futures_util::Stream<Item = Frame>>>;

async fn start(state: Rc<State>, request: RunRequest) -> Frames {
    let backend = match state.admit(&request.head).await {
        Ok(backend) => backend,
        Err(refusal) => return single_frame(state.refusal_frame(&request.head, refusal)),
    };
    match (&request.head.target, &backend.upstream) {
        (Target::Model(target), Upstream::Model(engine)) => {
            let lora = admission::lora_of(target);
            let engine = Rc::clone(engine);
            model::run(state, backend, engine, lora, request)
        }
        (Target::Service(target), Upstream::Service(service, keys)) => {
            let target = target.clone();
            let destination = service::Destination {
                service: Rc::clone(service),
                keys: keys.clone(),
            };
            service::run(state, backend, destination, target, request)
        }
        _ => single_frame(state.refusal_frame(
            &request.head,
            refusal(Reason::WrongPool, DEFAULT_RETRY_MS, "pool of another kind"),
        )),
    }
}

fn single_frame(frame: Frame) -> Frames {
    Box::pin(stream::iter([frame]))
}

/// Creates a refusal without load figures.
fn refusal(reason: Reason, retry_ms: u64, detail: impl Into<String>) -> Refusal {
    Refusal {
        reason,
        retry_ms,
        detail: detail.into(),
        load: None,
    }
}

/// Data frames of a whole body, and the end frame.
fn body_frames(state: &State, body: &[u8]) -> Vec<Frame> {
    let data = |piece: &[u8]| Frame::Data {
        bytes: piece.to_vec(),
    };
    let mut frames: Vec<Frame> = body.chunks(MAX_DATA_BYTES).map(data).collect();
    frames.push(Frame::End {
        load: state.load_figures(),
    });
    frames
}

impl State {
    fn load_figures(&self) -> Option<pumicecleat_types::LoadFigures> {
        self.backend().map(|w| w.dispatcher.figures())
    }

    /// Counts and logs a refusal, and returns its frame with the load figures.
    fn refusal_frame(&self, head: &RunHead, refusal: Refusal) -> Frame {
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
            load: self.load_figures(),
            ..refusal
        })
    }

    /// Counts and logs a broken attempt, and returns its frame.
    fn broken_frame(&self, head: &RunHead, ran: Ran, step: &str, detail: &str) -> Frame {
        use pumicecleat_ops::{events, field};
        self.metrics.broken.inc();
        let target = target_name(&head.target);
        let ran_name = format!("{ran:?}").to_lowercase();
        let fields = [
            field("request", &head.request),
            field("attempt", head.attempt),
            field("target", &target),
            field("step", step),
            field("ran", &ran_name),
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
