//! Permission to send a request, which is needed if upstreams ended while it was in progress.

use pumicecleat_net::Reply;
use pumicecleat_policy::TRIAL_MIN_ENDS;
use pumicecleat_types::{Millis, Trial};

use super::job::Job;
use super::refuse::{Refusal, outcome_unknown};
use crate::suspects::{ask_trial, release_trial};

/// Permission of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Permit {
    /// No permission is needed, or none was granted.
    #[default]
    None,
    /// One send is permitted, unless the request may have ended more upstreams than this number by then.
    Trial(Trial, usize),
    /// The permitted send was performed.
    Used,
}

/// Retry time returned while the permitted send has no outcome.
const OUTCOME_RETRY_AFTER: Millis = Millis(2_000);

impl Job {
    /// Whether the request may be sent without asking for permission.
    pub(super) fn is_permitted(&self) -> bool {
        let end_count = self.end_count();
        match self.permit.get() {
            Permit::Trial(_, permitted_count) => end_count <= permitted_count,
            _ => end_count < TRIAL_MIN_ENDS,
        }
    }

    /// Asks for permission to send the request, if it needs one.
    pub(super) async fn acquire_permit(&self) -> Result<(), Refusal> {
        if self.is_permitted() {
            return Ok(());
        }
        if self.permit.get() != Permit::None {
            return Err(Refusal::ends_upstreams(OUTCOME_RETRY_AFTER));
        }
        let fingerprint = self.trace.fingerprint();
        let granted = ask_trial(&self.shared, self.id(), fingerprint).await;
        let trial = granted.map_err(Refusal::ends_upstreams)?;
        self.permit.set(Permit::Trial(trial, self.end_count()));
        Ok(())
    }

    fn end_count(&self) -> usize {
        let now = self.shared.timer.now();
        self.shared
            .suspects
            .end_count(&self.trace.fingerprint(), now)
    }

    /// Kind of the permitted send, if there is one that was not performed yet.
    pub(super) fn trial(&self) -> Option<Trial> {
        match self.permit.get() {
            Permit::Trial(trial, _) => Some(trial),
            _ => None,
        }
    }

    /// Gives back a permission that was not used.
    pub(super) fn release_permit(&self) {
        if self.trial().is_some() {
            self.permit.set(Permit::Used);
            release_trial(&self.shared, self.trace.fingerprint());
        }
    }

    /// Final response to a request that may not be sent; `may_have_run` if an earlier attempt may have been
    /// executed.
    pub(super) fn refuse(&self, may_have_run: bool, refusal: Refusal) -> Reply {
        self.release_permit();
        if may_have_run {
            return outcome_unknown(&self.trace, 502, refusal.reason);
        }
        refusal.reply(&self.trace)
    }

    /// Records that the request is sent.
    pub(super) fn use_permit(&self) {
        let Some(trial) = self.trial() else {
            return;
        };
        self.permit.set(Permit::Used);
        if trial == Trial::Exclusive {
            self.trace.set_alone();
        }
    }
}
