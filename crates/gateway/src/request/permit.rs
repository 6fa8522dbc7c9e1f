//! Whether a request may be sent, as upstreams may have ended under it.

use pumicecleat_net::Reply;
use pumicecleat_policy::TRIAL_MIN_ENDS;
use pumicecleat_types::{Millis, Trial};

use super::job::Job;
use super::refuse::{Refusal, unsettled};
use crate::suspects::{ask_trial, give_back};

/// Permission that a request has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Permit {
    /// Needs none, or has none.
    #[default]
    None,
    /// May be sent once, while no more upstreams end under it than these.
    Trial(Trial, usize),
    /// Was sent with permission.
    Used,
}

/// When to come back while the one send that was permitted has no outcome.
const OUTCOME_RETRY: Millis = Millis(2_000);

impl Job {
    /// Whether the request may be sent without asking anybody.
    pub(super) fn is_clear(&self) -> bool {
        let ends = self.ends();
        match self.permit.get() {
            Permit::Trial(_, known) => ends <= known,
            _ => ends < TRIAL_MIN_ENDS,
        }
    }

    /// Asks for permission to send the request, if it needs any.
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

    /// How the request may be sent, if it has permission for one send.
    pub(super) fn trial(&self) -> Option<Trial> {
        match self.permit.get() {
            Permit::Trial(trial, _) => Some(trial),
            _ => None,
        }
    }

    /// Gives permission back that was not used.
    pub(super) fn give_permit_back(&self) {
        if self.trial().is_some() {
            self.permit.set(Permit::Used);
            give_back(&self.shared, self.trail.fingerprint());
        }
    }

    /// Final answer to the request, which may not be sent; `ran` if an attempt before may have run.
    pub(super) fn refuse(&self, ran: bool, refusal: Refusal) -> Reply {
        self.give_permit_back();
        if ran {
            return unsettled(&self.trail, 502, refusal.reason);
        }
        refusal.reply(&self.trail)
    }

    /// The request is sent.
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
