//! Handling of failed attempts: a retry, or the fault for the caller.
//!
//! After an attempt that did not run, a retry is always safe. After one that may have run, the
//! request is retried only if it is idempotent, or once with its idempotency key, which the sides
//! use to determine which attempt took effect. Once an attempt may have run, no fault says that
//! the request did not run.

use std::mem;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, Ran, Reason, Target};

use super::{Exchange, Failure, ResolvedTarget, RetryMode, resolve_model, resolve_service};
use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER};
use crate::config::refresh;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 5;

impl Exchange {
    /// Records a failed attempt and prepares a retry.
    ///
    /// # Errors
    /// The fault for the caller, if the request is not retried.
    pub(crate) async fn handle_failure(&mut self, failure: Failure) -> Result<(), ApiError> {
        self.record_failure(&failure);
        let fault = failure.to_fault();
        if !self.may_retry(&failure) {
            let earlier_fault = self.history.last_fault.take();
            let final_fault = match failure {
                Failure::NoUpstream { .. } | Failure::DeadlineUnreachable { .. } => {
                    earlier_fault.unwrap_or(fault)
                }
                _ => fault,
            };
            self.log_unknown_outcome();
            return Err(self.history.raise_ran(final_fault));
        }
        self.history.last_fault = Some(fault);
        self.record_retry(&failure);
        if is_stale(&failure) {
            self.refresh_target().await?;
        }
        Ok(())
    }

    /// Counts and logs a failed attempt.
    pub(crate) fn record_failure(&mut self, failure: &Failure) {
        self.history.end_attempt(failure.ran());
        if let Failure::Refused(_) = failure {
            self.shared.meters.count_refusal(failure.cause());
        }
        if let Failure::Lost(loss) = failure
            && loss.stalled
        {
            let elapsed = self.timer().now().since(self.job.received_at);
            let upstream = field("upstream", self.last_upstream());
            let fields = [upstream, field("wait_ms", elapsed.0)];
            self.shared.log.emit(&events::SIDE_STALLED, &fields);
        }
        let Failure::Mismatch { expected, found } = failure else {
            return;
        };
        self.shared.meters.count_mismatch();
        let fields = [
            field("request", &self.job.request_id),
            field("attempt", self.history.attempts),
            field("upstream", self.last_upstream()),
            field("asked", expected),
            field("answered", found),
        ];
        self.shared.log.emit(&events::ANSWER_MISMATCH, &fields);
    }

    fn may_retry(&mut self, failure: &Failure) -> bool {
        let allowed = !failure.is_final()
            && self.time_left() > Millis(0)
            && self.history.attempts < MAX_ATTEMPTS
            && self.may_rerun(failure);
        allowed && self.try_spend_budget(failure)
    }

    fn try_spend_budget(&self, failure: &Failure) -> bool {
        let budget = match failure {
            Failure::Lost(_) | Failure::Mismatch { .. } => &self.shared.loss_budget,
            _ => &self.shared.refusal_budget,
        };
        budget.borrow_mut().try_retry()
    }

    fn may_rerun(&mut self, failure: &Failure) -> bool {
        if failure.ran() == Ran::No {
            return true;
        }
        match self.job.retry_mode {
            RetryMode::Idempotent => true,
            RetryMode::OnceByKey => !mem::replace(&mut self.history.key_retried, true),
            RetryMode::Never => false,
        }
    }

    fn record_retry(&self, failure: &Failure) {
        self.shared.meters.count_retry(failure.cause());
        let fields = [
            field("request", &self.job.request_id),
            field("attempt", self.history.attempts),
            field("upstream", self.last_upstream()),
            field("reason", failure.cause()),
        ];
        self.shared.log.emit(&events::ATTEMPT_RETRIED, &fields);
    }

    fn log_unknown_outcome(&self) {
        if self.job.retry_mode == RetryMode::Idempotent || self.history.ran() == Ran::No {
            return;
        }
        let fields = [
            field("request", &self.job.request_id),
            field("caller", &self.job.caller),
            field(
                "key",
                self.job.idempotency_key.as_deref().unwrap_or_default(),
            ),
            field("upstream", self.last_upstream()),
        ];
        self.shared.log.emit(&events::OUTCOME_UNKNOWN, &fields);
    }

    /// Resolves the target again under the latest configuration. The same side may be chosen once
    /// more, because its configuration may have been the outdated one.
    async fn refresh_target(&mut self) -> Result<(), ApiError> {
        refresh(&self.shared).await;
        if !mem::replace(&mut self.history.side_retried, true) {
            self.history.tried.pop();
        }
        match self.resolve_again() {
            Ok(resolved) => self.job.resolved = resolved,
            Err(fault) => return Err(self.history.raise_ran(fault)),
        }
        Ok(())
    }

    fn resolve_again(&self) -> Result<ResolvedTarget, ApiError> {
        let (shared, caller) = (&self.shared, &self.job.caller);
        let service = match &self.job.resolved.target {
            Target::Model(_) => {
                let engine_name = self.job.engine_name().unwrap_or_default();
                return resolve_model(shared, caller, engine_name);
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
