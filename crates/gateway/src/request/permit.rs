//! Permission to send a request, which is needed if upstreams ended while it was in progress.

use pumicecleat_net::Reply;
use pumicecleat_policy::TRIAL_MIN_ENDS;
use pumicecleat_types::{Millis, Trial};

use super::job::Job;
use super::refuse::{Refusal, unsettled};
use crate::suspects::{ask_trial, give_back};

/// Permission of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Permit {
    /// No permission is needed, or none was granted.
    #[default]
    None,
    /// One send is permitted, as long as the request may not have ended more upstreams than this number.
    Trial(Trial, usize),
    /// The permitted send was performed.
    Used,
}

/// Retry time returned while the permitted send has no outcome.
const OUTCOME_RETRY: Millis = Millis(2_000);

impl Job {
    /// Whether the request may be sent without asking for permission.
    pub(super) fn is_clear(&self) -> bool {
        let ends = self.ends();
        match self.permit.get() {
            Permit::Trial(_, known) => ends <= known,
            _ => ends < TRIAL_MIN_ENDS,
        }
    }

    /// Asks for permission to send the request, if it needs one.
    pub(super) async fn clear(&self) -> Result<(), Refusal> {
        if self.is_clear() {
            return Ok(());
        }
        if self.permit.get() != Permit::None {
            return Err(Refusal::ends_upstreams(OUTCOME_RETRY));
        }
        let fingerprint = self.trail.fingerprint();
        let answer = ask_trial(&self.shared, self.id(), fingerprint).await;
        let trial = answer.map_err(Refusal::ends_upstreams)?;
        self.permit.set(Permit::Trial(trial, self.ends()));
        Ok(())
    }

    fn ends(&self) -> usize {
        let now = self.shared.timer.now();
        self.shared.guard.ends(&self.trail.fingerprint(), now)
    }

    /// Kind of the permitted send, if there is one that was not performed yet.
    pub(super) fn trial(&self) -> Option<Trial> {
        match self.permit.get() {
            Permit::Trial(trial, _) => Some(trial),
            _ => None,
        }
    }

    /// Gives back a permission that was not used.
    pub(super) fn give_permit_back(&self) {
        if self.trial().is_some() {
            self.permit.set(Permit::Used);
            give_back(&self.shared, self.trail.fingerprint());
        }
    }

    /// Final response to a request that may not be sent; `may_have_run` if an earlier attempt may have been
    /// executed.
    pub(super) fn refuse(&self, ran: bool, refusal: Refusal) -> Reply {
        self.give_permit_back();
        if ran {
            return unsettled(&self.trail, 502, refusal.reason);
        }
        refusal.reply(&self.trail)
    }

    /// Records that the request is sent.
    pub(super) fn use_permit(&self) {
        let Some(trial) = self.trial() else {
            return;
        };
        self.permit.set(Permit::Used);
        if trial == Trial::Alone {
            self.trail.set_alone();
        }
    }
}
