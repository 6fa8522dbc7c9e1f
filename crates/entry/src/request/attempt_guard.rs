//! Reports the start and the end of each attempt to the router, also if the attempt is dropped.

use std::rc::Rc;

use pumicecleat_policy::{AttemptOutcome, LoraIx, UpstreamIx};
use pumicecleat_types::Reason;

use super::Failure;
use crate::shared::Shared;

/// Registers an attempt with the router until it ends.
pub(super) struct AttemptGuard {
    shared: Rc<Shared>,
    up: UpstreamIx,
    lora: Option<LoraIx>,
    pub(super) outcome: Option<AttemptOutcome>,
}

impl AttemptGuard {
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

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.shared.timer.now();
        // An abandoned attempt gives no information about its upstream. The router only counts the
        // attempt as ended for this reason.
        let abandoned = AttemptOutcome::Refused(Reason::Deadline, None);
        let outcome = self.outcome.unwrap_or(abandoned);
        let mut directory = self.shared.directory.borrow_mut();
        directory.record_outcome(self.up, self.lora, outcome, now);
    }
}
