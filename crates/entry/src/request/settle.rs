//! What follows a failed attempt: another one, or the fault that the caller gets.
//!
//! An attempt that did not run may always be followed by another. One that may have run is followed
//! only if the request is idempotent, or once with its key, by which the sides settle what took
//! effect. No fault says "not run" once an attempt may have run.

use std::mem;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, Ran, Reason, Target};

use super::{Exchange, Failure, Repeat, Resolved, resolve_model, resolve_service};
use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER};
use crate::config::refresh;

/// Attempts of one request at most.
const ATTEMPTS: u32 = 5;

impl Exchange {
    /// Takes a failed attempt in.
    ///
    /// # Errors
    /// The fault for the caller, if nothing follows.
    pub(crate) async fn settle(&mut self, failure: Failure) -> Result<(), ApiError> {
        self.note_failure(&failure);
        let fault = failure.fault();
        if !self.may_follow(&failure) {
            let earlier = self.history.last.take();
            let told = match failure {
                Failure::Nowhere { .. } | Failure::Late { .. } => earlier.unwrap_or(fault),
                _ => fault,
            };
            self.note_unknown();
            return Err(self.history.truthful(told));
        }
        self.history.last = Some(fault);
        self.note_retry(&failure);
        if is_stale(&failure) {
            self.resolve_anew().await?;
        }
        Ok(())
    }

    /// Counts and logs a failed attempt, whatever follows.
    pub(crate) fn note_failure(&mut self, failure: &Failure) {
        self.history.end(failure.ran());
        if let Failure::Refused(_) = failure {
            self.shared.meters.count_refusal(failure.cause());
        }
        if let Failure::Lost(loss) = failure
            && loss.stalled
        {
            let waited = self.timer().now().since(self.job.arrived);
            let upstream = field("upstream", self.upstream());
            let fields = [upstream, field("wait_ms", waited.0)];
            self.shared.log.emit(&events::SIDE_STALLED, &fields);
        }
        let Failure::Mismatch { asked, answered } = failure else {
            return;
        };
        self.shared.meters.count_mismatch();
        let fields = [
            field("request", &self.job.request),
            field("attempt", self.history.attempts),
            field("upstream", self.upstream()),
            field("asked", asked),
            field("answered", answered),
        ];
        self.shared.log.emit(&events::ANSWER_MISMATCH, &fields);
    }

    fn may_follow(&mut self, failure: &Failure) -> bool {
        let open = !failure.is_final()
            && self.left() > Millis(0)
            && self.history.attempts < ATTEMPTS
            && self.is_repeatable(failure);
        open && self.is_within_budget(failure)
    }

    fn is_within_budget(&self, failure: &Failure) -> bool {
        let budget = match failure {
            Failure::Lost(_) | Failure::Mismatch { .. } => &self.shared.loss_budget,
            _ => &self.shared.refusal_budget,
        };
        budget.borrow_mut().try_retry()
    }

    fn is_repeatable(&mut self, failure: &Failure) -> bool {
        if failure.ran() == Ran::No {
            return true;
        }
        match self.job.repeat {
            Repeat::Freely => true,
            Repeat::ByKey => !mem::replace(&mut self.history.keyed, true),
            Repeat::Never => false,
        }
    }

    fn note_retry(&self, failure: &Failure) {
        self.shared.meters.count_retry(failure.cause());
        let fields = [
            field("request", &self.job.request),
            field("attempt", self.history.attempts),
            field("upstream", self.upstream()),
            field("reason", failure.cause()),
        ];
        self.shared.log.emit(&events::ATTEMPT_RETRIED, &fields);
    }

    fn note_unknown(&self) {
        if self.job.repeat == Repeat::Freely || self.history.ran() == Ran::No {
            return;
        }
        let fields = [
            field("request", &self.job.request),
            field("caller", &self.job.caller),
            field("key", self.job.key.as_deref().unwrap_or_default()),
            field("upstream", self.upstream()),
        ];
        self.shared.log.emit(&events::OUTCOME_UNKNOWN, &fields);
    }

    /// Finds the target again under the newest configuration. The same side is asked once more, as
    /// it may have been the one behind.
    async fn resolve_anew(&mut self) -> Result<(), ApiError> {
        refresh(&self.shared).await;
        if !mem::replace(&mut self.history.stale, true) {
            self.history.tried.pop();
        }
        match self.resolved_anew() {
            Ok(resolved) => self.job.resolved = resolved,
            Err(fault) => return Err(self.history.truthful(fault)),
        }
        Ok(())
    }

    fn resolved_anew(&self) -> Result<Resolved, ApiError> {
        let (shared, caller) = (&self.shared, &self.job.caller);
        let service = match &self.job.resolved.target {
            Target::Model(_) => {
                let engine = self.job.engine().unwrap_or_default();
                return resolve_model(shared, caller, engine);
            }
            Target::Service(service) => service,
        };
        let headers = service.headers.clone();
        let route = resolve_service(shared, caller, &service.method, &service.path, headers)?;
        if route.idempotent != service.idempotent {
            let message = "the route's declaration changed";
            return Err(ApiError::unavailable(
                "config_changing",
                message,
                DEFAULT_RETRY_AFTER,
            ));
        }
        Ok(route.resolved)
    }
}

fn is_stale(failure: &Failure) -> bool {
    matches!(failure, Failure::Refused(r) if r.reason == Reason::StaleConfig)
}
