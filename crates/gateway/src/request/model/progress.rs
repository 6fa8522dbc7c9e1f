//! Progress of a request to a model engine.

use pumicecleat_catalog::RetryMode;
use pumicecleat_policy::TurnSearch;
use pumicecleat_types::Millis;

use crate::repeats::{RepeatCause, RepeatReservation};
use crate::request::job::Job;
use crate::request::refuse::{RESTING, Refusal};
use crate::request::shortlist::Shortlist;

/// Progress of a request.
#[derive(Default)]
pub(in crate::request) struct Progress {
    pub(super) search: TurnSearch,
    pub(super) shortlist: Shortlist,
    pub(super) sends: u32,
    /// Reserved for the next attempt, if it is a repeat.
    pub(super) repeat: Option<RepeatReservation>,
    pub(super) may_have_run: bool,
    pub(super) reason: Option<&'static str>,
    pub(super) retry_after: Option<Millis>,
}

impl Progress {
    /// Records that all engines have asked for no requests during `backoff`.
    pub(super) fn set_backoff(&mut self, backoff: Millis) {
        self.reason = Some(RESTING);
        self.retry_after = Some(backoff);
    }

    /// Whether a request that may have run may be sent once more.
    pub(super) fn may_retry(&self, job: &Job) -> bool {
        job.route.retry != RetryMode::Never && self.sends < job.route.max_attempts
    }

    /// Reserves the next attempt, if the limit of repeats allows one.
    pub(super) fn reserve_repeat(&mut self, job: &Job, cause: RepeatCause) -> bool {
        self.repeat = job.reserve_repeat(cause);
        self.repeat.is_some()
    }

    /// Records that the process ends before an attempt could be finished; returns the reason.
    pub(super) fn refuse_stopping(&mut self) -> &'static str {
        let Refusal {
            reason,
            retry_after,
        } = Refusal::stopping();
        self.reason = Some(reason);
        self.retry_after = Some(retry_after);
        reason
    }

    pub(super) fn record_refusal(&mut self, reason: &'static str, retry_after: Millis) {
        self.reason = Some(reason);
        self.retry_after = Some(self.retry_after.map_or(retry_after, |r| r.min(retry_after)));
    }
}
