//! Log lines of a request.

use http::Version;
use pumicecleat_net::{BodyError, Framing};
use pumicecleat_ops::{events, field};
use pumicecleat_types::Millis;

use super::RequestTrace;
use crate::request::refuse::{REFUSED, Refusal, STOPPING};
use crate::request::stopping::stopped_status;

/// Status if the time for a response is over.
const TIMED_OUT: u16 = 504;

impl RequestTrace {
    /// Logs that an upstream's response was forwarded, completely unless there is an `error`.
    pub(in crate::request) fn log_passed_on(&self, status: u16, error: Option<&BodyError>) {
        let is_complete = error.is_none();
        let error = error.map(ToString::to_string).unwrap_or_default();
        self.count_outcome(if is_complete { "passed_on" } else { "broken" });
        if is_complete {
            self.record_response_time();
        }
        let first = self.first_byte.get().unwrap_or_else(|| self.age());
        let instance = self.instance.borrow();
        let fingerprint = self.fingerprint_text();
        let account = self.account.borrow();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("prompt_parts", self.prompt_parts.as_str()),
            field("route", self.route.as_str()),
            field("account", account.as_str()),
            field("objective_ms", self.objective_ms),
            field("instance", instance.as_str()),
            field("status", status),
            field("attempts", self.attempts.get()),
            field("turn_ms", self.turn_wait.get().0),
            field("first_ms", first.0),
            field("total_ms", self.age().0),
            field("pause_ms", self.gaps.longest().unwrap_or_default().0),
            field("pause_limit_ms", self.pause_limit_ms),
            field("list_ms", self.list_age.get().0),
            field("layout", self.layout),
            field("whole", is_complete),
            field("framing", self.framing.get().map_or("", Framing::as_str)),
            field("error", error.as_str()),
            field("caller_http", version_name(self.version.get())),
        ];
        self.shared.log.emit(&events::PASSED_ON, &fields);
    }

    /// Logs that the request was refused without having been executed.
    pub(in crate::request) fn log_turned_down(
        &self,
        status: u16,
        reason: &str,
        retry_after: Millis,
    ) {
        self.count_outcome("turned_down");
        let fingerprint = self.fingerprint_text();
        let account = self.account.borrow();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("prompt_parts", self.prompt_parts.as_str()),
            field("route", self.route.as_str()),
            field("account", account.as_str()),
            field("objective_ms", self.objective_ms),
            field("reason", reason),
            field("status", status),
            field("retry_ms", retry_after.0),
            field("attempts", self.attempts.get()),
            field("age_ms", self.age().0),
            field("layout", self.layout),
        ];
        self.shared.log.emit(&events::TURNED_DOWN, &fields);
    }

    /// Logs that the request failed and may have been executed.
    pub(in crate::request) fn log_unsettled(&self, status: u16, reason: &str) {
        self.count_outcome("unsettled");
        if status == TIMED_OUT {
            self.record_response_time();
        }
        let instance = self.instance.borrow();
        let fingerprint = self.fingerprint_text();
        let account = self.account.borrow();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("prompt_parts", self.prompt_parts.as_str()),
            field("route", self.route.as_str()),
            field("account", account.as_str()),
            field("objective_ms", self.objective_ms),
            field("instance", instance.as_str()),
            field("reason", reason),
            field("status", status),
            field("attempts", self.attempts.get()),
            field("age_ms", self.age().0),
            field("list_ms", self.list_age.get().0),
            field("layout", self.layout),
        ];
        self.shared.log.emit(&events::UNSETTLED, &fields);
    }

    /// Logs that an attempt provided no response to forward.
    pub(in crate::request) fn log_attempt_lost(
        &self,
        step: &str,
        may_have_run: bool,
        will_retry: bool,
        error: &str,
    ) {
        let instance = self.instance.borrow();
        let fingerprint = self.fingerprint_text();
        let account = self.account.borrow();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("prompt_parts", self.prompt_parts.as_str()),
            field("account", account.as_str()),
            field("objective_ms", self.objective_ms),
            field("instance", instance.as_str()),
            field("step", step),
            field("ran", may_have_run),
            field("age_ms", self.age().0),
            field("list_ms", self.list_age.get().0),
            field("again", will_retry),
            field("error", error),
        ];
        self.shared.log.emit(&events::ATTEMPT_LOST, &fields);
    }

    /// Logs that the process ends before the request has a response.
    fn log_stopped(&self) {
        match stopped_status(self.attempts.get()) {
            status @ REFUSED => {
                let retry_after = Refusal::stopping().retry_after;
                self.log_turned_down(status, STOPPING, retry_after);
            }
            status => self.log_unsettled(status, STOPPING),
        }
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if self.outcome_counted.get() {
            return;
        }
        if self.shared.stop.is_ending() {
            return self.log_stopped();
        }
        self.count_outcome("caller_left");
        let instance = self.instance.borrow();
        let fingerprint = self.fingerprint_text();
        let account = self.account.borrow();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("prompt_parts", self.prompt_parts.as_str()),
            field("route", self.route.as_str()),
            field("account", account.as_str()),
            field("objective_ms", self.objective_ms),
            field("instance", instance.as_str()),
            field("age_ms", self.age().0),
        ];
        self.shared.log.emit(&events::CALLER_LEFT, &fields);
    }
}

/// Version of HTTP in logs.
fn version_name(version: Version) -> &'static str {
    if version == Version::HTTP_10 {
        "1.0"
    } else {
        "1.1"
    }
}
