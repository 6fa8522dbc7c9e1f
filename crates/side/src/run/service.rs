//! An attempt at a plain service.
//!
//! An idempotent call runs only while its entry waits. Any other call runs in a task of its own, so
//! that its outcome is recorded once it is sent; if its entry disconnects before, it is not sent.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use pumicecleat_ledger::{Body, Digest, Key, Outcome, RecordedResponse};
use pumicecleat_net::Sent;
use pumicecleat_types::{
    Frame, HeaderField, Millis, Ran, Reason, Refusal, RunRequest, ServiceTarget,
};
use pumicecleat_upstream::{CallError, Service, ServiceCall, ServiceResponse};

use super::{DEFAULT_RETRY_MS, Frames, body_frames, refusal};
use crate::dispatch::{Decision, JobSpec, Ticket};
use crate::keys::{Claim, KeyCall, Keys, PartGuard};
use crate::state::{Backend, State};

/// Longest body that is recorded whole with an outcome.
const MAX_RECORDED_BYTES: usize = 16 << 10;

/// Service that is called, and the keys of its calls.
pub(super) struct Destination {
    pub(super) service: Rc<dyn Service>,
    pub(super) keys: Keys,
}

/// Frames of one attempt.
pub(super) fn run(
    state: Rc<State>,
    backend: Backend,
    destination: Destination,
    target: ServiceTarget,
    request: RunRequest,
) -> Frames {
    let idempotent = target.idempotent;
    let run = ServiceRun {
        deadline: state.timer.now() + Millis(request.head.time_left_ms),
        state,
        backend,
        destination,
        target,
        request,
    };
    if idempotent {
        let frames = async move { run.run_to_end(None).await };
        return Box::pin(stream::once(frames).map(stream::iter).flatten());
    }
    Box::pin(stream::once(run_detached(run)).map(stream::iter).flatten())
}

/// Runs the call in a task of its own, and waits for its frames.
async fn run_detached(run: ServiceRun) -> Vec<Frame> {
    let (sender, frames) = async_channel::bounded(1);
    let state = Rc::clone(&run.state);
    let head = run.request.head.clone();
    monoio::spawn(async move {
        let frames = run.run_to_end(Some(&sender)).await;
        // If the entry has disconnected, the outcome is still recorded with the key.
        let _ = sender.try_send(frames);
    });
    match frames.recv().await {
        Ok(frames) => frames,
        Err(_) => vec![state.broken_frame(&head, Ran::Unknown, "run call", "its task ended")],
    }
}

/// Key of a call, and the guard of the key's part.
struct CallKey {
    key: Key,
    part: PartGuard,
}

struct ServiceRun {
    state: Rc<State>,
    backend: Backend,
    destination: Destination,
    target: ServiceTarget,
    request: RunRequest,
    deadline: Millis,
}

impl ServiceRun {
    /// Runs the call, and returns the frames of the whole answer. `entry` is closed once the entry
    /// has disconnected.
    async fn run_to_end(&self, entry: Option<&Sender<Vec<Frame>>>) -> Vec<Frame> {
        let _guard = self.state.drain.track(&self.request.head.request);
        // The part is opened before the call is queued, as its place in the queue could be used by
        // others meanwhile.
        let call_key = match self.acquire_key().await {
            Ok(call_key) => call_key,
            Err(refusal) => return self.refusal_frames(refusal),
        };
        let mut ticket = match self.enqueue().await {
            Ok(ticket) => ticket,
            Err(refusal) => return self.refusal_frames(refusal),
        };
        if entry.is_some_and(Sender::is_closed) {
            ticket.finish(false);
            return self.refusal_frames(refusal(
                Reason::Deadline,
                DEFAULT_RETRY_MS,
                "its entry left",
            ));
        }
        let frames = match &call_key {
            Some(call_key) => self.run_keyed(call_key, entry).await,
            None => self.run_plain().await,
        };
        ticket.finish(true);
        frames
    }

    /// Key of the call and the guard of the key's part; `None` if the call is idempotent or has no
    /// key.
    async fn acquire_key(&self) -> Result<Option<CallKey>, Refusal> {
        let head = &self.request.head;
        let text = head
            .idempotency_key
            .as_deref()
            .filter(|_| !self.target.idempotent);
        let Some(text) = text else {
            return Ok(None);
        };
        let key = Key::parse(&head.caller, text);
        let key = key.map_err(|e| refusal(Reason::KeyInvalid, 0, e.to_string()))?;
        let keys = &self.destination.keys;
        let declared = self.state.config.pool(self.state.pool());
        if declared.is_none_or(|p| p.parts() != keys.parts()) {
            let detail = "this side deals the keys out by another declaration";
            return Err(refusal(Reason::StaleConfig, DEFAULT_RETRY_MS, detail));
        }
        let part = keys.acquire_part(&key, Millis(head.time_left_ms)).await;
        let detail = "its part of the keys is not open here";
        let part = part.map_err(|reason| refusal(reason, DEFAULT_RETRY_MS, detail))?;
        Ok(Some(CallKey { key, part }))
    }

    /// Queues the call and waits until it may be sent.
    async fn enqueue(&self) -> Result<Ticket, Refusal> {
        let head = &self.request.head;
        let spec = JobSpec {
            lora: None,
            caller: head.caller.as_str(),
            claim: self.state.caller_claim(head),
            priority: head.priority,
            time_left: self.deadline.since(self.state.timer.now()),
            tokens: 1,
        };
        let detail = "the queue can't meet it";
        let submitted = self.backend.dispatcher.submit(&spec);
        let mut ticket = submitted.map_err(|r| refusal(r.reason, r.retry_after.0, detail))?;
        match ticket.wait().await {
            Decision::Send => Ok(ticket),
            Decision::Refused(r) => Err(refusal(r.reason, r.retry_after.0, detail)),
        }
    }

    /// Sends a call without a key, once.
    async fn run_plain(&self) -> Vec<Frame> {
        match self.send().await {
            Ok(answer) => self.answer_frames(answer.status, answer.headers, &answer.body, false),
            Err(e) => vec![self.failure_frame(&e)],
        }
    }

    /// Runs a call with a key: it is sent only if its intent is the first in the log.
    async fn run_keyed(
        &self,
        call_key: &CallKey,
        entry: Option<&Sender<Vec<Frame>>>,
    ) -> Vec<Frame> {
        let head = &self.request.head;
        let CallKey { key, part } = call_key;
        let call = KeyCall {
            request: &head.request,
            key,
            digest: Digest::of_call(&self.target.method, &self.target.path, &self.request.body),
            time_left: self.deadline.since(self.state.timer.now()),
        };
        match part.claim(&call).await {
            Claim::Won(won) => {
                if entry.is_some_and(Sender::is_closed) {
                    return self.withdraw(part, &won);
                }
                match part.sent(won) {
                    Ok(sent) => self.send_won(call_key, sent).await,
                    Err(e) => self.refusal_frames(refusal(
                        Reason::Deadline,
                        DEFAULT_RETRY_MS,
                        e.to_string(),
                    )),
                }
            }
            Claim::Replay(outcome) => self.replay(&outcome),
            Claim::Refused(reason) => self.refusal_frames(refusal(
                reason,
                DEFAULT_RETRY_MS,
                "decided by its idempotency key",
            )),
        }
    }

    fn withdraw(&self, part: &PartGuard, won: &pumicecleat_ledger::SendPermit) -> Vec<Frame> {
        let reason = if part.withdraw(won) {
            Reason::Deadline
        } else {
            Reason::KeyUnknown
        };
        self.refusal_frames(refusal(reason, DEFAULT_RETRY_MS, "its entry left"))
    }

    async fn send_won(
        &self,
        call_key: &CallKey,
        sent: pumicecleat_ledger::SentAttempt,
    ) -> Vec<Frame> {
        let request = &self.request.head.request;
        let CallKey { key, part } = call_key;
        match self.send().await {
            Ok(answer) => {
                let headers = answer.headers.clone();
                let record =
                    RecordedResponse::new(answer.status, headers, &answer.body, MAX_RECORDED_BYTES);
                part.finish(request, key, sent, Outcome::Response(record));
                self.answer_frames(answer.status, answer.headers, &answer.body, false)
            }
            Err(e) if e.sent() == Sent::No => self.void_unsent(part, sent, &e),
            Err(e) => {
                part.finish(request, key, sent, Outcome::Unknown);
                vec![self.unknown_outcome_frame(&e)]
            }
        }
    }

    fn void_unsent(
        &self,
        part: &PartGuard,
        sent: pumicecleat_ledger::SentAttempt,
        error: &CallError,
    ) -> Vec<Frame> {
        if part.unsent(sent) {
            return vec![self.failure_frame(error)];
        }
        vec![self.unknown_outcome_frame(error)]
    }

    fn replay(&self, outcome: &Outcome) -> Vec<Frame> {
        self.state.metrics.replayed.inc();
        match outcome {
            Outcome::Response(answer) => match &answer.body {
                Body::Complete(body) => {
                    self.answer_frames(answer.status, answer.headers.clone(), body, true)
                }
                Body::Large { bytes, .. } => vec![self.unrecorded_answer(*bytes)],
            },
            Outcome::Unknown => self.refusal_frames(refusal(
                Reason::KeyUnknown,
                DEFAULT_RETRY_MS,
                "outcome is unknown",
            )),
        }
    }

    /// Frame for a repeat of a call that was answered with a body too long to be recorded: there is
    /// no whole answer to pass on.
    fn unrecorded_answer(&self, bytes: u64) -> Frame {
        let detail = format!("an earlier attempt ran; its answer of {bytes} bytes was not kept");
        self.state
            .broken_frame(&self.request.head, Ran::Yes, "replay answer", &detail)
    }

    async fn send(&self) -> Result<ServiceResponse, CallError> {
        let head = &self.request.head;
        let call = ServiceCall {
            request: head.request.clone(),
            attempt: head.attempt,
            method: self.target.method.clone(),
            path: self.target.path.clone(),
            headers: self.target.headers.clone(),
            body: Bytes::copy_from_slice(&self.request.body),
            key: head.idempotency_key.clone(),
        };
        self.destination.service.call(&call, self.time_left()).await
    }

    fn failure_frame(&self, error: &CallError) -> Frame {
        if error.sent() == Sent::No {
            let refusal = refusal(Reason::UpstreamDown, DEFAULT_RETRY_MS, error.to_string());
            return self.state.refusal_frame(&self.request.head, refusal);
        }
        self.unknown_outcome_frame(error)
    }

    fn unknown_outcome_frame(&self, error: &CallError) -> Frame {
        let detail = error.to_string();
        self.state
            .broken_frame(&self.request.head, Ran::Unknown, "call service", &detail)
    }

    fn refusal_frames(&self, refusal: Refusal) -> Vec<Frame> {
        vec![self.state.refusal_frame(&self.request.head, refusal)]
    }

    fn answer_frames(
        &self,
        status: u16,
        headers: Vec<HeaderField>,
        body: &[u8],
        replayed: bool,
    ) -> Vec<Frame> {
        self.state.metrics.completed.inc();
        let mut frames = vec![Frame::Head {
            request: self.request.head.request.clone(),
            attempt: self.request.head.attempt,
            model: None,
            status,
            headers,
            replayed,
        }];
        frames.extend(body_frames(&self.state, body));
        frames
    }

    fn time_left(&self) -> Duration {
        let time_left = self.deadline.since(self.state.timer.now());
        Duration::from_millis(time_left.0)
    }
}
