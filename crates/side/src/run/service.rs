//! An attempt at a plain service.
//!
//! An idempotent call lives as long as its entry waits. Any other is run by a task of its own, so
//! that a call once sent has its outcome recorded; one whose entry left before that is not sent.

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
use pumicecleat_upstream::{CallError, Service, ServiceAnswer, ServiceCall};

use super::{Frames, RETRY_MS, refusal, whole_frames};
use crate::dispatch::{Decision, Demand, Ticket};
use crate::keys::{Claim, Hold, KeyCall, Keys};
use crate::state::{State, Work};

/// Longest body that is recorded whole with an outcome, bytes.
const RECORDED: usize = 16 << 10;

/// Where a call goes.
pub(super) struct Place {
    pub(super) service: Rc<dyn Service>,
    pub(super) keys: Keys,
}

/// Frames of one attempt.
pub(super) fn run(
    state: Rc<State>,
    work: Work,
    place: Place,
    target: ServiceTarget,
    request: RunRequest,
) -> Frames {
    let idempotent = target.idempotent;
    let run = ServiceRun {
        until: state.timer.now() + Millis(request.head.left_ms),
        state,
        work,
        place,
        target,
        request,
    };
    if idempotent {
        let frames = async move { run.once(None).await };
        return Box::pin(stream::once(frames).map(stream::iter).flatten());
    }
    Box::pin(stream::once(detach(run)).map(stream::iter).flatten())
}

/// Runs in a task of its own, and waits for its frames.
async fn detach(run: ServiceRun) -> Vec<Frame> {
    let (sender, frames) = async_channel::bounded(1);
    let state = Rc::clone(&run.state);
    let head = run.request.head.clone();
    monoio::spawn(async move {
        let frames = run.once(Some(&sender)).await;
        // The entry may have left; what came of the call is recorded with its key.
        let _ = sender.try_send(frames);
    });
    match frames.recv().await {
        Ok(frames) => frames,
        Err(_) => vec![state.broken(&head, Ran::Unknown, "run call", "its task ended")],
    }
}

/// A call's key, and the hold on its part.
struct Keyed {
    key: Key,
    part: Hold,
}

struct ServiceRun {
    state: Rc<State>,
    work: Work,
    place: Place,
    target: ServiceTarget,
    request: RunRequest,
    until: Millis,
}

impl ServiceRun {
    /// Frames of the whole answer; `entry` is closed once the entry has left.
    async fn once(&self, entry: Option<&Sender<Vec<Frame>>>) -> Vec<Frame> {
        let _guard = self.state.drain.enter(&self.request.head.request);
        // A part is opened before the call takes a place in the queue that others could use.
        let keyed = match self.hold().await {
            Ok(keyed) => keyed,
            Err(refusal) => return self.refused(refusal),
        };
        let mut ticket = match self.queue().await {
            Ok(ticket) => ticket,
            Err(refusal) => return self.refused(refusal),
        };
        if entry.is_some_and(Sender::is_closed) {
            ticket.finish(false);
            return self.refused(refusal(Reason::Deadline, RETRY_MS, "its entry left"));
        }
        let frames = match &keyed {
            Some(keyed) => self.keyed(keyed, entry).await,
            None => self.plain().await,
        };
        ticket.finish(true);
        frames
    }

    /// The key, and the part of the service's keys that it is in, of a call with one.
    async fn hold(&self) -> Result<Option<Keyed>, Refusal> {
        let head = &self.request.head;
        let text = head.key.as_deref().filter(|_| !self.target.idempotent);
        let Some(text) = text else {
            return Ok(None);
        };
        let key = Key::parse(&head.caller, text);
        let key = key.map_err(|e| refusal(Reason::KeyInvalid, 0, e.to_string()))?;
        let keys = &self.place.keys;
        let declared = self.state.config.pool(self.state.pool());
        if declared.is_none_or(|p| p.parts() != keys.parts()) {
            let detail = "this side deals the keys out by another declaration";
            return Err(refusal(Reason::StaleConfig, RETRY_MS, detail));
        }
        let part = keys.hold(&key, Millis(head.left_ms)).await;
        let detail = "its part of the keys is not open here";
        let part = part.map_err(|reason| refusal(reason, RETRY_MS, detail))?;
        Ok(Some(Keyed { key, part }))
    }

    async fn queue(&self) -> Result<Ticket, Refusal> {
        let head = &self.request.head;
        let demand = Demand {
            lora: None,
            caller: head.caller.as_str(),
            claim: self.state.claim_of(head),
            priority: head.priority,
            left: self.until.since(self.state.timer.now()),
            tokens: 1,
        };
        let detail = "the queue can't meet it";
        let submitted = self.work.dispatcher.submit(&demand);
        let mut ticket = submitted.map_err(|g| refusal(g.reason, g.retry_after.0, detail))?;
        match ticket.wait().await {
            Decision::Go => Ok(ticket),
            Decision::Refused(g) => Err(refusal(g.reason, g.retry_after.0, detail)),
        }
    }

    /// A call without a key: sent once.
    async fn plain(&self) -> Vec<Frame> {
        match self.send().await {
            Ok(answer) => self.answered(answer.status, answer.headers, &answer.body, false),
            Err(e) => vec![self.failed(&e)],
        }
    }

    /// A call with a key: sent only if its intent is the first in the log.
    async fn keyed(&self, keyed: &Keyed, entry: Option<&Sender<Vec<Frame>>>) -> Vec<Frame> {
        let head = &self.request.head;
        let Keyed { key, part } = keyed;
        let call = KeyCall {
            request: &head.request,
            key,
            digest: Digest::of_call(&self.target.method, &self.target.path, &self.request.body),
            left: self.until.since(self.state.timer.now()),
        };
        match part.claim(&call).await {
            Claim::Won(won) => {
                if entry.is_some_and(Sender::is_closed) {
                    return self.withdraw(part, &won);
                }
                match part.sent(won) {
                    Ok(sent) => self.send_won(keyed, sent).await,
                    Err(e) => self.refused(refusal(Reason::Deadline, RETRY_MS, e.to_string())),
                }
            }
            Claim::Replay(outcome) => self.replay(&outcome),
            Claim::Refused(reason) => {
                self.refused(refusal(reason, RETRY_MS, "decided by its idempotency key"))
            }
        }
    }

    fn withdraw(&self, part: &Hold, won: &pumicecleat_ledger::SendPermit) -> Vec<Frame> {
        let reason = if part.withdraw(won) {
            Reason::Deadline
        } else {
            Reason::KeyUnknown
        };
        self.refused(refusal(reason, RETRY_MS, "its entry left"))
    }

    async fn send_won(&self, keyed: &Keyed, sent: pumicecleat_ledger::SentAttempt) -> Vec<Frame> {
        let request = &self.request.head.request;
        let Keyed { key, part } = keyed;
        match self.send().await {
            Ok(answer) => {
                let headers = answer.headers.clone();
                let record = RecordedResponse::new(answer.status, headers, &answer.body, RECORDED);
                part.finish(request, key, sent, Outcome::Response(record));
                self.answered(answer.status, answer.headers, &answer.body, false)
            }
            Err(e) if e.sent() == Sent::No => self.take_back(part, sent, &e),
            Err(e) => {
                part.finish(request, key, sent, Outcome::Unknown);
                vec![self.unknown(&e)]
            }
        }
    }

    fn take_back(
        &self,
        part: &Hold,
        sent: pumicecleat_ledger::SentAttempt,
        error: &CallError,
    ) -> Vec<Frame> {
        if part.unsent(sent) {
            return vec![self.failed(error)];
        }
        vec![self.unknown(error)]
    }

    fn replay(&self, outcome: &Outcome) -> Vec<Frame> {
        self.state.metrics.replayed.inc();
        match outcome {
            Outcome::Response(answer) => match &answer.body {
                Body::Complete(body) => {
                    self.answered(answer.status, answer.headers.clone(), body, true)
                }
                Body::Large { bytes, .. } => vec![self.not_kept(*bytes)],
            },
            Outcome::Unknown => {
                self.refused(refusal(Reason::KeyUnknown, RETRY_MS, "outcome is unknown"))
            }
        }
    }

    /// An earlier attempt ran and was answered, but too long an answer is not recorded: nothing
    /// could be passed on as whole.
    fn not_kept(&self, bytes: u64) -> Frame {
        let detail = format!("an earlier attempt ran; its answer of {bytes} bytes was not kept");
        self.state
            .broken(&self.request.head, Ran::Yes, "replay answer", &detail)
    }

    async fn send(&self) -> Result<ServiceAnswer, CallError> {
        let head = &self.request.head;
        let call = ServiceCall {
            request: head.request.clone(),
            attempt: head.attempt,
            method: self.target.method.clone(),
            path: self.target.path.clone(),
            headers: self.target.headers.clone(),
            body: Bytes::copy_from_slice(&self.request.body),
            key: head.key.clone(),
        };
        self.place.service.call(&call, self.left()).await
    }

    fn failed(&self, error: &CallError) -> Frame {
        if error.sent() == Sent::No {
            let refusal = refusal(Reason::UpstreamDown, RETRY_MS, error.to_string());
            return self.state.refused(&self.request.head, refusal);
        }
        self.unknown(error)
    }

    fn unknown(&self, error: &CallError) -> Frame {
        let detail = error.to_string();
        self.state
            .broken(&self.request.head, Ran::Unknown, "call service", &detail)
    }

    fn refused(&self, refusal: Refusal) -> Vec<Frame> {
        vec![self.state.refused(&self.request.head, refusal)]
    }

    fn answered(
        &self,
        status: u16,
        headers: Vec<HeaderField>,
        body: &[u8],
        replayed: bool,
    ) -> Vec<Frame> {
        self.state.metrics.whole.inc();
        let mut frames = vec![Frame::Head {
            request: self.request.head.request.clone(),
            attempt: self.request.head.attempt,
            model: None,
            status,
            headers,
            replayed,
        }];
        frames.extend(whole_frames(&self.state, body));
        frames
    }

    fn left(&self) -> Duration {
        let left = self.until.since(self.state.timer.now());
        Duration::from_millis(left.0)
    }
}
