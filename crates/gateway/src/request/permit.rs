//! Permission to send a request, which is needed if upstreams ended while it, or others with a part of its prompt,
//! was in progress.

use pumicecleat_net::Reply;
use pumicecleat_types::{Millis, SuspectKey, Trial};

use super::job::Job;
use super::refuse::{Refusal, outcome_unknown};
use crate::suspects::{TrialRequest, ask_trial, release_trial};

/// Permission of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Permit {
    /// No permission is needed, or none was granted.
    #[default]
    None,
    /// One send is permitted.
    Granted(GrantedTrial),
    /// The permitted send was performed.
    Used,
}

/// A trial that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GrantedTrial {
    trial: Trial,
    suspect: SuspectKey,
    /// Number of ends that the suspect may have caused. The trial is void if there are more.
    ends: usize,
}

/// Retry time returned while the permitted send has no outcome.
const OUTCOME_RETRY_AFTER: Millis = Millis(2_000);

impl Job {
    /// Whether the request may be sent without asking for permission.
    pub(super) fn is_permitted(&self) -> bool {
        let now = self.shared.timer.now();
        let suspects = self.shared.suspects.table.borrow();
        let mut keys = self.trace.suspect_keys();
        match self.permit.get() {
            Permit::Granted(granted) => {
                let is_void = suspects.end_count(&granted.suspect, now) > granted.ends;
                !is_void && suspects.known_cause(keys, now).is_none()
            }
            _ => !keys.any(|key| suspects.needs_trial(&key, now)),
        }
    }

    /// Asks for permission to send the request, if it needs one.
    pub(super) async fn acquire_permit(&self) -> Result<(), Refusal> {
        if self.is_permitted() {
            return Ok(());
        }
        let Some(asked) = self.trial_request() else {
            return Err(Refusal::ends_upstreams(OUTCOME_RETRY_AFTER));
        };
        let suspect = asked.suspect;
        let granted = ask_trial(&self.shared, self.id(), asked).await;
        let trial = granted.map_err(Refusal::ends_upstreams)?;
        let now = self.shared.timer.now();
        let ends = self.shared.suspects.end_count(&suspect, now);
        let granted = GrantedTrial {
            trial,
            suspect,
            ends,
        };
        self.permit.set(Permit::Granted(granted));
        Ok(())
    }

    /// What the request asks permission for. A known cause gets none.
    fn trial_request(&self) -> Option<TrialRequest> {
        let now = self.shared.timer.now();
        let suspects = self.shared.suspects.table.borrow();
        let keys: Vec<SuspectKey> = self.trace.suspect_keys().collect();
        let parts = suspects.suspected_parts(&keys, now);
        let (blocked_for, suspect) = match suspects.blocking_cause(&keys, now) {
            Some((span, cause)) => (Some(span), cause),
            None if self.permit.get() != Permit::None => return None,
            None => (None, suspects.main_suspect(keys.into_iter(), now).ok()??),
        };
        let is_known = suspects.retry_after(&suspect, now).is_some();
        let named = if is_known {
            vec![suspect]
        } else {
            parts.clone()
        };
        Some(TrialRequest {
            suspect,
            blocked_for,
            parts: parts.iter().map(|part| part.digest).collect(),
            named: self.trace.part_ids(&named),
        })
    }

    /// Kind of the permitted send, if there is one that was not performed yet.
    pub(super) fn trial(&self) -> Option<Trial> {
        self.granted_trial().map(|granted| granted.trial)
    }

    fn granted_trial(&self) -> Option<GrantedTrial> {
        match self.permit.get() {
            Permit::Granted(granted) => Some(granted),
            _ => None,
        }
    }

    /// Gives back a permission that was not used.
    pub(super) fn release_permit(&self) {
        if let Some(granted) = self.granted_trial() {
            self.permit.set(Permit::Used);
            release_trial(&self.shared, granted.suspect);
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
        let Some(granted) = self.granted_trial() else {
            return;
        };
        self.permit.set(Permit::Used);
        if granted.trial == Trial::Exclusive {
            self.trace.set_tried_alone(granted.suspect);
        }
    }
}
