//! One attempt at one side.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::{FrameError, FrameReader, NetError, Sent, Stall};
use pumicecleat_policy::AttemptOutcome;
use pumicecleat_types::{Frame, HeaderField, LoadFigures, Ran};
use pumicecleat_upstream::Expect;

use super::failure::Loss;
use super::outgoing::Outgoing;
use super::sent::SentGuard;
use super::{Failure, Job};
use crate::directory::Destination;
use crate::shared::Shared;

/// Time for a side to take a connection and answer its head, which it does at once.
const HEAD_SPAN: Duration = Duration::from_secs(1);

/// Time between two looks at whether a side still reports.
const TICK: Duration = Duration::from_millis(500);

/// Looks in a row that must find reports overdue: after a pause of this process one does.
const OVERDUE_TICKS: u32 = 2;

/// Time for the proper end of a body that has shown its last frame.
const END_SPAN: Duration = Duration::from_millis(100);

/// First status of an error.
const ERROR: u16 = 400;

/// First status of an upstream's own fault.
const FAILED: u16 = 500;

/// Status by which an engine denies a model.
const NO_MODEL: u16 = 404;

/// An attempt under way. Dropping it resets its HTTP/2 stream, and the side cancels it.
pub(crate) struct Attempt {
    pub(crate) destination: Destination,
    frames: FrameReader,
    stall: Stall,
    sent: SentGuard,
}

/// Start of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderField>,
}

impl AnswerHead {
    /// Whether the upstream answers by an error.
    pub(crate) fn is_error(&self) -> bool {
        self.status >= ERROR
    }
}

/// What follows the start of an answer.
pub(crate) enum Part {
    Data(Vec<u8>),
    End(Option<LoadFigures>),
}

impl Attempt {
    /// Sends an attempt and waits for the start of its answer.
    pub(crate) async fn open(
        shared: &Rc<Shared>,
        outgoing: Outgoing<'_>,
    ) -> Result<(Self, AnswerHead), Failure> {
        let job = outgoing.job;
        let number = outgoing.number;
        let mut sent = SentGuard::new(shared, outgoing.destination.up, job.resolved.lora_ix);
        let destination = outgoing.destination.clone();
        let request = outgoing.into_request();
        let address = &destination.address;
        // Boxed, as it is large and ends long before the answer's start may come.
        let response = Box::pin(shared.side_client.send(address, request, HEAD_SPAN)).await;
        let response = match response {
            Ok(response) => response,
            Err(e) => return Err(sent.fail(net_failure(&e))),
        };
        if response.status() != 200 {
            let status = response.status();
            let error = format!("peer {address}: status {status}");
            return Err(sent.fail(lost(Ran::Unknown, "await frames", error)));
        }
        let mut attempt = Self {
            destination,
            frames: FrameReader::new(response),
            stall: Stall::new(&shared.timer, shared.options.stall_timeout),
            sent,
        };
        match attempt.read_head(shared, job, number).await {
            Ok(head) => Ok((attempt, head)),
            Err(failure) => Err(attempt.fail(failure)),
        }
    }

    /// Next part of the answer, if it comes in the time that a stalled upstream is given.
    pub(crate) async fn next_part(&mut self) -> Result<Part, Failure> {
        let next = self.stall.within(self.frames.next()).await;
        let Ok(next) = next else {
            let span = self.stall.span();
            let error = format!("peer {}: silent for {span:?}", self.destination.address);
            return Err(stalled("read answer", error));
        };
        match self.frame(next)? {
            Frame::Data { bytes } => Ok(Part::Data(bytes)),
            Frame::End { load } => Ok(Part::End(load)),
            Frame::Broken { ran, step, detail } => Err(self.broken(ran, &step, &detail)),
            Frame::Head { .. } | Frame::Refused(_) => {
                let error = format!("peer {}: frame out of place", self.destination.address);
                Err(lost(Ran::Unknown, "read answer", error))
            }
        }
    }

    /// What an answer to this attempt must say of itself.
    pub(crate) fn expect<'a>(&'a self, job: &'a Job, engine: &'a str) -> Expect<'a> {
        Expect {
            peer: &self.destination.address,
            model: engine,
            request: Some(job.request.as_str()),
        }
    }

    /// Takes in load figures that came with the answer.
    pub(crate) fn learn(&self, shared: &Shared, load: Option<LoadFigures>) {
        if let Some(load) = load {
            let now = shared.timer.now();
            let up = self.destination.up;
            shared.directory.borrow_mut().update_load(up, load, now);
        }
    }

    /// Ends an attempt that was answered whole, and keeps its connection.
    pub(crate) async fn finish(mut self, shared: &Shared) {
        // A side that is slow to end its body only loses the connection.
        let _ = shared.timer.within(END_SPAN, self.frames.next()).await;
        self.sent.outcome = Some(AttemptOutcome::Completed);
    }

    /// Ends an attempt that failed.
    pub(crate) fn fail(mut self, failure: Failure) -> Failure {
        self.sent.outcome = Some(failure.outcome());
        failure
    }

    async fn read_head(
        &mut self,
        shared: &Shared,
        job: &Job,
        number: u32,
    ) -> Result<AnswerHead, Failure> {
        match self.first_frame(shared).await? {
            Frame::Head {
                request,
                attempt,
                model,
                status,
                headers,
                ..
            } => {
                if request != job.request || attempt != number {
                    let asked = format!("{}/{number}", job.request);
                    let answered = format!("{request}/{attempt}");
                    return Err(Failure::Mismatch { asked, answered });
                }
                self.check_model(job, model.as_deref(), status)?;
                Ok(AnswerHead { status, headers })
            }
            Frame::Refused(refusal) => Err(Failure::Refused(refusal)),
            Frame::Broken { ran, step, detail } => Err(self.broken(ran, &step, &detail)),
            Frame::Data { .. } | Frame::End { .. } => {
                let error = format!("peer {}: no head", self.destination.address);
                Err(lost(Ran::Unknown, "read head", error))
            }
        }
    }

    /// First frame; the side may hold it back while the request waits, as long as it reports.
    async fn first_frame(&mut self, shared: &Shared) -> Result<Frame, Failure> {
        let mut overdue_ticks = 0;
        while overdue_ticks < OVERDUE_TICKS {
            let next = shared.timer.within(TICK, self.frames.next()).await;
            if let Ok(next) = next {
                return self.frame(next);
            }
            let now = shared.timer.now();
            let overdue = shared
                .directory
                .borrow()
                .is_overdue(&self.destination.vm, now);
            overdue_ticks = if overdue { overdue_ticks + 1 } else { 0 };
        }
        let error = format!("peer {}: reports overdue", self.destination.address);
        Err(stalled("await head", error))
    }

    fn check_model(&self, job: &Job, model: Option<&str>, status: u16) -> Result<(), Failure> {
        let Some(asked) = job.engine() else {
            return Ok(());
        };
        if status >= FAILED || status == NO_MODEL {
            let error = format!("peer {}: engine status {status}", self.destination.address);
            return Err(lost(Ran::Unknown, "read head", error));
        }
        let unnamed = model.is_none() && status >= ERROR;
        if unnamed || model == Some(asked) {
            return Ok(());
        }
        Err(Failure::Mismatch {
            asked: asked.to_owned(),
            answered: model.unwrap_or_default().to_owned(),
        })
    }

    fn frame(&self, next: Result<Option<Frame>, FrameError>) -> Result<Frame, Failure> {
        let address = &self.destination.address;
        match next {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) => {
                let error = format!("peer {address}: frames end without End");
                Err(lost(Ran::Unknown, "read answer", error))
            }
            Err(e) => {
                let error = format!("peer {address}: {e}");
                Err(lost(Ran::Unknown, "read answer", error))
            }
        }
    }

    fn broken(&self, ran: Ran, step: &str, detail: &str) -> Failure {
        let error = format!("peer {}: {detail}", self.destination.address);
        lost(ran, step, error)
    }
}

fn net_failure(error: &NetError) -> Failure {
    let ran = match error.sent() {
        Sent::No => Ran::No,
        Sent::Maybe => Ran::Unknown,
    };
    let slow = matches!(
        error,
        NetError::AnswerTimeout { .. } | NetError::ConnectTimeout { .. }
    );
    Failure::Lost(Loss {
        ran,
        stalled: slow,
        step: "send attempt".to_owned(),
        error: error.to_string(),
    })
}

pub(crate) fn lost(ran: Ran, step: &str, error: String) -> Failure {
    Failure::Lost(Loss {
        ran,
        stalled: false,
        step: step.to_owned(),
        error,
    })
}

fn stalled(step: &str, error: String) -> Failure {
    Failure::Lost(Loss {
        ran: Ran::Unknown,
        stalled: true,
        step: step.to_owned(),
        error,
    })
}
