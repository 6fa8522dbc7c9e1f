//! A request with its history, and the next attempt of it.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::Timer;
use pumicecleat_ops::{DrainGuard, events, field};
use pumicecleat_policy::RouteQuery;
use pumicecleat_types::{Millis, Ran};
use pumicecleat_upstream::Usage;

use super::outgoing::Outgoing;
use super::{AnswerHead, Attempt, Failure, History, Job};
use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER};
use crate::directory::{Destination, DestinationChoice};
use crate::meters::RequestEnd;
use crate::shared::Shared;

/// Time beyond the deadline for a side's own word on it.
const GRACE: Millis = Millis(250);

/// One request from its head to the end of its answer.
pub(crate) struct Exchange {
    pub(crate) shared: Rc<Shared>,
    pub(crate) job: Job,
    pub(crate) history: History,
    /// How it ended, once it has.
    ended: bool,
    /// Keeps the process from stopping.
    _guard: DrainGuard,
}

impl Exchange {
    pub(crate) fn new(shared: &Rc<Shared>, job: Job, guard: DrainGuard) -> Self {
        let fields = [
            field("request", &job.request),
            field("caller", &job.caller),
            field("target", job.resolved.name()),
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
    pub(crate) fn left(&self) -> Millis {
        self.job.left(self.timer().now())
    }

    /// Time after which the entry itself gives up.
    pub(crate) fn patience(&self) -> Duration {
        Duration::from_millis((self.left() + GRACE).0)
    }

    /// Sends the next attempt with `body` and waits for the start of its answer.
    pub(crate) async fn attempt(
        &mut self,
        body: Vec<u8>,
        left: Millis,
    ) -> Result<(Attempt, AnswerHead), Failure> {
        let destination = self.choose(left)?;
        let number = self.history.start(destination.up, &destination.vm);
        let outgoing = Outgoing {
            job: &self.job,
            destination,
            number,
            left,
            body,
        };
        // Boxed, as it is large and only lives until the answer starts.
        Box::pin(Attempt::open(&self.shared, outgoing)).await
    }

    fn choose(&self, left: Millis) -> Result<Destination, Failure> {
        let ask = RouteQuery {
            pool: self.job.resolved.pool_ix,
            lora: self.job.resolved.lora_ix,
            prompt: self.job.prompt,
            time_left: left,
            tried: &self.history.tried,
        };
        let now = self.timer().now();
        let home = self.job.home();
        match self.shared.directory.borrow_mut().choose(&ask, home, now) {
            DestinationChoice::Send(destination) => Ok(destination),
            DestinationChoice::TooLate { retry_after: retry } => Err(Failure::Late { retry }),
            DestinationChoice::NoUpstream { retry_after: retry } => Err(Failure::Nowhere { retry }),
        }
    }

    /// Counts the tokens of a whole answer, if its engine tells.
    pub(crate) fn note_usage(&self, usage: Option<Usage>) {
        if let Some(usage) = usage {
            self.shared.meters.count_tokens(&usage);
        }
    }

    /// Fault at the entry's own time limit.
    pub(crate) fn late(&self) -> ApiError {
        let ran = self.history.ran();
        let message = "no whole answer before the deadline";
        ApiError {
            status: 504,
            ran,
            ..ApiError::unavailable("deadline_exceeded", message, DEFAULT_RETRY_AFTER)
        }
    }

    /// Notes that the first bytes of the answer are there.
    pub(crate) fn note_first(&self) {
        let took = self.timer().now().since(self.job.arrived);
        self.shared.meters.record_first_byte(took);
    }

    /// Notes that the answer is whole.
    pub(crate) fn note_whole(&mut self) {
        let took = self.close(RequestEnd::Completed, "");
        let fields = [
            field("request", &self.job.request),
            field("caller", &self.job.caller),
            field("target", self.job.resolved.name()),
            field("upstream", self.upstream()),
            field("attempts", self.history.attempts),
            field("took_ms", took.0),
        ];
        self.shared.log.emit(&events::REQUEST_DONE, &fields);
    }

    /// Notes the fault that answers the request.
    pub(crate) fn note_fault(&mut self, fault: &ApiError) {
        self.close(RequestEnd::Failed, fault.code);
        if fault.ran != Ran::No {
            return self.note_broken("answer", fault.ran, &fault.message);
        }
        let fields = [
            field("request", &self.job.request),
            field("caller", &self.job.caller),
            field("target", self.job.resolved.name()),
            field("reason", fault.code),
            field("ran", "no"),
            field("status", fault.status),
        ];
        self.shared.log.emit(&events::REQUEST_REFUSED, &fields);
    }

    /// Notes that the stream ends visibly broken.
    pub(crate) fn note_cut(&mut self, fault: &ApiError, error: &str) {
        self.close(RequestEnd::Broken, fault.code);
        self.note_broken("stream", fault.ran, error);
    }

    fn note_broken(&self, step: &str, ran: Ran, error: &str) {
        let fields = [
            field("request", &self.job.request),
            field("caller", &self.job.caller),
            field("target", self.job.resolved.name()),
            field("upstream", self.upstream()),
            field("step", step),
            field("ran", ran_name(ran)),
            field("error", error),
        ];
        self.shared.log.emit(&events::REQUEST_BROKEN, &fields);
    }

    fn close(&mut self, end: RequestEnd, code: &'static str) -> Millis {
        self.ended = true;
        let took = self.timer().now().since(self.job.arrived);
        self.shared.meters.record_end(end, code, took);
        took
    }

    /// Upstream of the last attempt, for logs.
    pub(crate) fn upstream(&self) -> &str {
        let upstream = self.history.upstream.as_ref();
        upstream.map_or("", |vm| vm.as_str())
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.close(RequestEnd::CallerGone, "caller_gone");
        let fields = [
            field("request", &self.job.request),
            field("caller", &self.job.caller),
            field("upstream", self.upstream()),
        ];
        self.shared.log.emit(&events::CALLER_GONE, &fields);
    }
}

fn ran_name(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
        Ran::Yes => "yes",
    }
}
