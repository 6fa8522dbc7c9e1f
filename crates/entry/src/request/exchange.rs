//! A request with its history, and the sending of its next attempt.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::Timer;
use pumicecleat_ops::{DrainGuard, events, field};
use pumicecleat_policy::RouteQuery;
use pumicecleat_types::{Millis, Ran};
use pumicecleat_upstream::Usage;

use super::outgoing::OutgoingAttempt;
use super::{Attempt, Failure, History, Job, ResponseHead};
use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER};
use crate::directory::{Destination, DestinationChoice};
use crate::meters::RequestEnd;
use crate::shared::Shared;

/// Time after the deadline in which the side can still report what became of the request.
const DEADLINE_GRACE: Millis = Millis(250);

/// A request from its head to the end of its response.
pub(crate) struct Exchange {
    pub(crate) shared: Rc<Shared>,
    pub(crate) job: Job,
    pub(crate) history: History,
    /// Whether the end has been recorded.
    ended: bool,
    /// Delays the stop of the process until the exchange ends.
    _guard: DrainGuard,
}

impl Exchange {
    pub(crate) fn new(shared: &Rc<Shared>, job: Job, guard: DrainGuard) -> Self {
        let fields = [
            field("request", &job.request_id),
            field("caller", &job.caller),
            field("target", job.resolved.log_name()),
        ];
        shared.log.emit(&events::REQUEST_TAKEN, &fields);
        shared.refusal_budget.borrow_mut().record_request();
        shared.loss_budget.borrow_mut().record_request();
        Self {
            shared: Rc::clone(shared),
            job,
            history: History::new(),
            ended: false,
            _guard: guard,
        }
    }

    pub(crate) fn timer(&self) -> &Timer {
        &self.shared.timer
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Millis {
        self.job.time_left(self.timer().now())
    }

    /// Time after which the entry stops waiting for the sides.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis((self.time_left() + DEADLINE_GRACE).0)
    }

    /// Sends the next attempt with `body` and waits for the head of its response.
    pub(crate) async fn send_attempt(
        &mut self,
        body: Vec<u8>,
        time_left: Millis,
    ) -> Result<(Attempt, ResponseHead), Failure> {
        let destination = self.choose_destination(time_left)?;
        let attempt_number = self.history.start_attempt(destination.up, &destination.vm);
        let outgoing = OutgoingAttempt {
            job: &self.job,
            destination,
            attempt_number,
            time_left,
            body,
        };
        // Boxed because the future is large and only needed until the response starts.
        Box::pin(Attempt::open(&self.shared, outgoing)).await
    }

    fn choose_destination(&self, time_left: Millis) -> Result<Destination, Failure> {
        let query = RouteQuery {
            pool: self.job.resolved.pool_ix,
            lora: self.job.resolved.lora_ix,
            prompt: self.job.prompt,
            time_left,
            tried: &self.history.tried,
        };
        let now = self.timer().now();
        let affinity_key = self.job.affinity_key();
        match self
            .shared
            .directory
            .borrow_mut()
            .choose(&query, affinity_key, now)
        {
            DestinationChoice::Send(destination) => Ok(destination),
            DestinationChoice::TooLate { retry_after: retry } => {
                Err(Failure::DeadlineUnreachable { retry_after: retry })
            }
            DestinationChoice::NoUpstream { retry_after: retry } => {
                Err(Failure::NoUpstream { retry_after: retry })
            }
        }
    }

    /// Counts the tokens of a complete response, if the engine reports them.
    pub(crate) fn record_usage(&self, usage: Option<Usage>) {
        if let Some(usage) = usage {
            self.shared.meters.count_tokens(&usage);
        }
    }

    /// Fault returned when the time limit of the entry expires.
    pub(crate) fn deadline_fault(&self) -> ApiError {
        let ran = self.history.ran();
        let message = "no whole answer before the deadline";
        ApiError {
            status: 504,
            ran,
            ..ApiError::unavailable("deadline_exceeded", message, DEFAULT_RETRY_AFTER)
        }
    }

    /// Records the arrival of the first bytes of the response.
    pub(crate) fn record_first_byte(&self) {
        let elapsed = self.timer().now().since(self.job.received_at);
        self.shared.meters.record_first_byte(elapsed);
    }

    /// Records that the response is complete.
    pub(crate) fn record_completion(&mut self) {
        let elapsed = self.record_end(RequestEnd::Completed, "");
        let fields = [
            field("request", &self.job.request_id),
            field("caller", &self.job.caller),
            field("target", self.job.resolved.log_name()),
            field("upstream", self.last_upstream()),
            field("attempts", self.history.attempts),
            field("took_ms", elapsed.0),
        ];
        self.shared.log.emit(&events::REQUEST_DONE, &fields);
    }

    /// Records the fault that is returned to the caller.
    pub(crate) fn record_fault(&mut self, fault: &ApiError) {
        self.record_end(RequestEnd::Failed, fault.code);
        if fault.ran != Ran::No {
            return self.log_broken("answer", fault.ran, &fault.message);
        }
        let fields = [
            field("request", &self.job.request_id),
            field("caller", &self.job.caller),
            field("target", self.job.resolved.log_name()),
            field("reason", fault.code),
            field("ran", "no"),
            field("status", fault.status),
        ];
        self.shared.log.emit(&events::REQUEST_REFUSED, &fields);
    }

    /// Records that the stream ended with an error.
    pub(crate) fn record_broken_stream(&mut self, fault: &ApiError, error: &str) {
        self.record_end(RequestEnd::Broken, fault.code);
        self.log_broken("stream", fault.ran, error);
    }

    fn log_broken(&self, step: &str, ran: Ran, error: &str) {
        let fields = [
            field("request", &self.job.request_id),
            field("caller", &self.job.caller),
            field("target", self.job.resolved.log_name()),
            field("upstream", self.last_upstream()),
            field("step", step),
            field("ran", ran_label(ran)),
            field("error", error),
        ];
        self.shared.log.emit(&events::REQUEST_BROKEN, &fields);
    }

    fn record_end(&mut self, end: RequestEnd, code: &'static str) -> Millis {
        self.ended = true;
        let elapsed = self.timer().now().since(self.job.received_at);
        self.shared.meters.record_end(end, code, elapsed);
        elapsed
    }

    /// Upstream of the last attempt, for logs.
    pub(crate) fn last_upstream(&self) -> &str {
        let upstream = self.history.last_upstream.as_ref();
        upstream.map_or("", |vm| vm.as_str())
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.record_end(RequestEnd::CallerGone, "caller_gone");
        let fields = [
            field("request", &self.job.request_id),
            field("caller", &self.job.caller),
            field("upstream", self.last_upstream()),
        ];
        self.shared.log.emit(&events::CALLER_GONE, &fields);
    }
}

fn ran_label(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
        Ran::Yes => "yes",
    }
}
