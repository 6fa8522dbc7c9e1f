//! Attempts as the router counts them: from the send to the end, however it comes.

use std::rc::Rc;

use pumicecleat_policy::{AttemptOutcome, LoraIx, UpstreamIx};
use pumicecleat_types::Reason;

use super::Failure;
use crate::shared::Shared;

/// Counts an attempt with the router until it ends.
pub(super) struct SentGuard {
    shared: Rc<Shared>,
    up: UpstreamIx,
    lora: Option<LoraIx>,
    pub(super) outcome: Option<AttemptOutcome>,
}

impl SentGuard {
    pub(super) fn new(shared: &Rc<Shared>, up: UpstreamIx, lora: Option<LoraIx>) -> Self {
        let now = shared.timer.now();
        shared.directory.borrow_mut().record_send(up, lora, now);
        shared.meters.count_attempt();
        Self {
            shared: Rc::clone(shared),
            up,
            lora,
            outcome: None,
        }
    }

    pub(super) fn fail(&mut self, failure: Failure) -> Failure {
        self.outcome = Some(failure.outcome());
        failure
    }
}

impl Drop for SentGuard {
    fn drop(&mut self) {
        let now = self.shared.timer.now();
        // An attempt given up tells nothing of its upstream; this reason only ends it.
        let given_up = AttemptOutcome::Refused(Reason::Deadline, None);
        let outcome = self.outcome.unwrap_or(given_up);
        let mut directory = self.shared.directory.borrow_mut();
        directory.record_outcome(self.up, self.lora, outcome, now);
    }
}
