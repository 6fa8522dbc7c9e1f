//! A single attempt to run a request at a side.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::{FrameError, FrameReader, NetError, Sent, Stall};
use pumicecleat_policy::AttemptOutcome;
use pumicecleat_types::{Frame, HeaderField, LoadFigures, Ran};
use pumicecleat_upstream::ExpectedResponse;

use super::attempt_guard::AttemptGuard;
use super::failure::Loss;
use super::outgoing::OutgoingAttempt;
use super::{Failure, Job};
use crate::directory::Destination;
use crate::shared::Shared;

/// Time limit for the connection to a side and its response head, which a side sends at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between checks whether a side still reports.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive checks that must find the reports overdue. After a pause of this process,
/// a single check may find them overdue.
const MAX_OVERDUE_CHECKS: u32 = 2;

/// Time limit for the end of a body after its last frame.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(100);

/// Lowest status of an error.
const MIN_ERROR_STATUS: u16 = 400;

/// Lowest status of a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Status of an engine that does not have the model.
const MODEL_NOT_FOUND_STATUS: u16 = 404;

/// An attempt in progress. Dropping it resets its HTTP/2 stream, upon which the side cancels it.
pub(crate) struct Attempt {
    pub(crate) destination: Destination,
    frames: FrameReader,
    stall: Stall,
    guard: AttemptGuard,
}

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderField>,
}

impl ResponseHead {
    /// Whether the upstream returned an error.
    pub(crate) fn is_error(&self) -> bool {
        self.status >= MIN_ERROR_STATUS
    }
}

/// Item that follows the head of a response.
pub(crate) enum BodyPart {
    Data(Vec<u8>),
    End(Option<LoadFigures>),
}

impl Attempt {
    /// Sends an attempt and waits for the head of its response.
    pub(crate) async fn open(
        shared: &Rc<Shared>,
        outgoing: OutgoingAttempt<'_>,
    ) -> Result<(Self, ResponseHead), Failure> {
        let job = outgoing.job;
        let attempt_number = outgoing.attempt_number;
        let mut guard = AttemptGuard::new(shared, outgoing.destination.up, job.resolved.lora_ix);
        let destination = outgoing.destination.clone();
        let request = outgoing.into_request();
        let address = &destination.address;
        // Boxed because the future is large and completes long before the response head may arrive.
        let response = Box::pin(shared.side_client.send(address, request, HEAD_TIMEOUT)).await;
        let response = match response {
            Ok(response) => response,
            Err(e) => return Err(guard.fail(net_failure(&e))),
        };
        if response.status() != 200 {
            let status = response.status();
            let error = format!("peer {address}: status {status}");
            return Err(guard.fail(lost_failure(Ran::Unknown, "await frames", error)));
        }
        let mut attempt = Self {
            destination,
            frames: FrameReader::new(response),
            stall: Stall::new(&shared.timer, shared.options.stall_timeout),
            guard,
        };
        match attempt.read_head(shared, job, attempt_number).await {
            Ok(head) => Ok((attempt, head)),
            Err(failure) => Err(attempt.fail(failure)),
        }
    }

    /// Returns the next part of the body. Fails if nothing arrives within the stall timeout.
    pub(crate) async fn next_part(&mut self) -> Result<BodyPart, Failure> {
        let next = self.stall.within(self.frames.next()).await;
        let Ok(next) = next else {
            let span = self.stall.span();
            let error = format!("peer {}: no data for {span:?}", self.destination.address);
            return Err(stalled_failure("read answer", error));
        };
        match self.require_frame(next)? {
            Frame::Data { bytes } => Ok(BodyPart::Data(bytes)),
            Frame::End { load } => Ok(BodyPart::End(load)),
            Frame::Broken { ran, step, detail } => Err(self.broken_failure(ran, &step, &detail)),
            Frame::Head { .. } | Frame::Refused(_) => {
                let error = format!("peer {}: unexpected frame", self.destination.address);
                Err(lost_failure(Ran::Unknown, "read answer", error))
            }
        }
    }

    /// Values that a response to this attempt must contain.
    pub(crate) fn expected_response<'a>(
        &'a self,
        job: &'a Job,
        engine_name: &'a str,
    ) -> ExpectedResponse<'a> {
        ExpectedResponse {
            peer: &self.destination.address,
            model: engine_name,
            request: Some(job.request_id.as_str()),
        }
    }

    /// Applies the load figures that the response carried.
    pub(crate) fn update_load(&self, shared: &Shared, load: Option<LoadFigures>) {
        if let Some(load) = load {
            let now = shared.timer.now();
            let up = self.destination.up;
            shared.directory.borrow_mut().update_load(up, load, now);
        }
    }

    /// Ends an attempt whose response is complete, and keeps its connection.
    pub(crate) async fn finish(mut self, shared: &Shared) {
        // If the side ends its body too late, only the connection is lost.
        let _ = shared
            .timer
            .within(BODY_END_TIMEOUT, self.frames.next())
            .await;
        self.guard.outcome = Some(AttemptOutcome::Completed);
    }

    /// Ends a failed attempt.
    pub(crate) fn fail(mut self, failure: Failure) -> Failure {
        self.guard.outcome = Some(failure.outcome());
        failure
    }

    async fn read_head(
        &mut self,
        shared: &Shared,
        job: &Job,
        attempt_number: u32,
    ) -> Result<ResponseHead, Failure> {
        match self.first_frame(shared).await? {
            Frame::Head {
                request,
                attempt,
                model,
                status,
                headers,
                ..
            } => {
                if request != job.request_id || attempt != attempt_number {
                    let expected = format!("{}/{attempt_number}", job.request_id);
                    let found = format!("{request}/{attempt}");
                    return Err(Failure::Mismatch { expected, found });
                }
                self.check_model(job, model.as_deref(), status)?;
                Ok(ResponseHead { status, headers })
            }
            Frame::Refused(refusal) => Err(Failure::Refused(refusal)),
            Frame::Broken { ran, step, detail } => Err(self.broken_failure(ran, &step, &detail)),
            Frame::Data { .. } | Frame::End { .. } => {
                let error = format!(
                    "peer {}: first frame is not a head",
                    self.destination.address
                );
                Err(lost_failure(Ran::Unknown, "read head", error))
            }
        }
    }

    /// Waits for the first frame. The side may delay it while the request is queued, as long as it
    /// sends its reports.
    async fn first_frame(&mut self, shared: &Shared) -> Result<Frame, Failure> {
        let mut overdue_checks = 0;
        while overdue_checks < MAX_OVERDUE_CHECKS {
            let next = shared
                .timer
                .within(REPORT_CHECK_INTERVAL, self.frames.next())
                .await;
            if let Ok(next) = next {
                return self.require_frame(next);
            }
            let now = shared.timer.now();
            let overdue = shared
                .directory
                .borrow()
                .is_overdue(&self.destination.vm, now);
            overdue_checks = if overdue { overdue_checks + 1 } else { 0 };
        }
        let error = format!("peer {}: reports overdue", self.destination.address);
        Err(stalled_failure("await head", error))
    }

    fn check_model(&self, job: &Job, model: Option<&str>, status: u16) -> Result<(), Failure> {
        let Some(expected) = job.engine_name() else {
            return Ok(());
        };
        if status >= MIN_SERVER_ERROR_STATUS || status == MODEL_NOT_FOUND_STATUS {
            let error = format!("peer {}: engine status {status}", self.destination.address);
            return Err(lost_failure(Ran::Unknown, "read head", error));
        }
        let unnamed = model.is_none() && status >= MIN_ERROR_STATUS;
        if unnamed || model == Some(expected) {
            return Ok(());
        }
        Err(Failure::Mismatch {
            expected: expected.to_owned(),
            found: model.unwrap_or_default().to_owned(),
        })
    }

    fn require_frame(&self, next: Result<Option<Frame>, FrameError>) -> Result<Frame, Failure> {
        let address = &self.destination.address;
        match next {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) => {
                let error = format!("peer {address}: frames end without an end frame");
                Err(lost_failure(Ran::Unknown, "read answer", error))
            }
            Err(e) => {
                let error = format!("peer {address}: {e}");
                Err(lost_failure(Ran::Unknown, "read answer", error))
            }
        }
    }

    fn broken_failure(&self, ran: Ran, step: &str, detail: &str) -> Failure {
        let error = format!("peer {}: {detail}", self.destination.address);
        lost_failure(ran, step, error)
    }
}

fn net_failure(error: &NetError) -> Failure {
    let ran = match error.sent() {
        Sent::No => Ran::No,
        Sent::Maybe => Ran::Unknown,
    };
    let timed_out = matches!(
        error,
        NetError::AnswerTimeout { .. } | NetError::ConnectTimeout { .. }
    );
    Failure::Lost(Loss {
        ran,
        stalled: timed_out,
        step: "send attempt".to_owned(),
        error: error.to_string(),
    })
}

pub(crate) fn lost_failure(ran: Ran, step: &str, error: String) -> Failure {
    Failure::Lost(Loss {
        ran,
        stalled: false,
        step: step.to_owned(),
        error,
    })
}

fn stalled_failure(step: &str, error: String) -> Failure {
    Failure::Lost(Loss {
        ran: Ran::Unknown,
        stalled: true,
        step: step.to_owned(),
        error,
    })
}
