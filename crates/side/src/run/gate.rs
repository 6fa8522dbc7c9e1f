//! What an attempt must pass before it is queued.

use std::time::Duration;

use pumicecleat_types::{Lora, ModelTarget, Reason, Refusal, RunHead, Target};

use super::{RETRY_MS, refusal};
use crate::state::{Backend, State};

/// Longest wait for a configuration that the entry has and this side lacks.
const REFRESH: Duration = Duration::from_secs(1);

impl State {
    /// What works for an attempt that may be queued.
    ///
    /// # Errors
    /// The refusal, if it may not.
    pub(super) async fn gate(&self, head: &RunHead) -> Result<Backend, Refusal> {
        if head.pool != *self.pool() {
            return Err(refusal(
                Reason::WrongPool,
                RETRY_MS,
                "this side serves another pool",
            ));
        }
        if head.left_ms == 0 {
            return Err(refusal(Reason::Deadline, RETRY_MS, "no time left"));
        }
        self.catch_up(head).await;
        self.check_target(&head.target)?;
        if self.leaving.get() {
            return Err(refusal(
                Reason::Leaving,
                RETRY_MS,
                "this upstream is leaving",
            ));
        }
        match self.backend() {
            Some(work) if self.accepts_work() => Ok(work),
            _ => Err(refusal(
                Reason::UpstreamDown,
                RETRY_MS,
                "upstream does not answer",
            )),
        }
    }

    /// The entry decided by a newer revision: it is in force here before the attempt is looked at.
    async fn catch_up(&self, head: &RunHead) {
        self.config.observe_revision(head.revision);
        if self.config.revision() < head.revision {
            // Behind after all of it, the check of the target has the last word.
            let _ = self.timer.within(REFRESH, self.refresh_config()).await;
        }
    }

    fn check_target(&self, target: &Target) -> Result<(), Refusal> {
        let known = match target {
            Target::Model(model) => self.is_declared(model),
            Target::Service(s) => {
                let pool = self
                    .config
                    .with(|c| Some(c.services.get(&s.service)?.pool.clone()));
                pool.as_ref() == Some(self.pool())
            }
        };
        if known {
            return Ok(());
        }
        let detail = "this side's configuration differs for the target";
        Err(refusal(Reason::StaleConfig, RETRY_MS, detail))
    }

    fn is_declared(&self, model: &ModelTarget) -> bool {
        let lora = lora_of(model);
        self.config.with(|c| c.stamp(&lora)) == Some(model.stamp)
    }

    /// Claim of a caller, 1 if none is declared.
    pub(super) fn claim_of(&self, head: &RunHead) -> u32 {
        let claim = self
            .config
            .with(|c| c.callers.get(&head.caller).map(|x| x.claim));
        claim.unwrap_or(1)
    }
}

/// Unit of residency that a target asks for.
pub(super) fn lora_of(model: &ModelTarget) -> Lora {
    Lora {
        base: model.base.clone(),
        adapter: model.adapter.clone(),
        version: model.version.clone(),
    }
}
