//! Checks of an attempt before it is queued.

use std::time::Duration;

use pumicecleat_types::{Lora, ModelTarget, Reason, Refusal, RunHead, Target};

use super::{DEFAULT_RETRY_MS, refusal};
use crate::state::{Backend, State};

/// Longest wait for a newer configuration that the entry has.
const MAX_REFRESH_WAIT: Duration = Duration::from_secs(1);

impl State {
    /// Checks whether an attempt may be queued, and returns the dispatcher and upstream to use.
    ///
    /// # Errors
    /// The refusal of the attempt, if it may not be queued.
    pub(super) async fn admit(&self, head: &RunHead) -> Result<Backend, Refusal> {
        if head.pool != *self.pool() {
            return Err(refusal(
                Reason::WrongPool,
                DEFAULT_RETRY_MS,
                "this side serves another pool",
            ));
        }
        if head.time_left_ms == 0 {
            return Err(refusal(Reason::Deadline, DEFAULT_RETRY_MS, "no time left"));
        }
        self.await_revision(head).await;
        self.check_target(&head.target)?;
        if self.leaving.get() {
            return Err(refusal(
                Reason::Leaving,
                DEFAULT_RETRY_MS,
                "this upstream is leaving",
            ));
        }
        match self.backend() {
            Some(backend) if self.accepts_work() => Ok(backend),
            _ => Err(refusal(
                Reason::UpstreamDown,
                DEFAULT_RETRY_MS,
                "upstream does not answer",
            )),
        }
    }

    /// Fetches the configuration by which the entry decided, if it is newer than this side's.
    async fn await_revision(&self, head: &RunHead) {
        self.config.observe_revision(head.revision);
        if self.config.revision() < head.revision {
            // If the revision is still older after this, the check of the target decides.
            let _ = self
                .timer
                .within(MAX_REFRESH_WAIT, self.refresh_config())
                .await;
        }
    }

    fn check_target(&self, target: &Target) -> Result<(), Refusal> {
        let is_known = match target {
            Target::Model(model) => self.is_declared(model),
            Target::Service(s) => {
                let pool = self
                    .config
                    .with(|c| Some(c.services.get(&s.service)?.pool.clone()));
                pool.as_ref() == Some(self.pool())
            }
        };
        if is_known {
            return Ok(());
        }
        let detail = "this side's configuration differs for the target";
        Err(refusal(Reason::StaleConfig, DEFAULT_RETRY_MS, detail))
    }

    fn is_declared(&self, model: &ModelTarget) -> bool {
        let lora = lora_of(model);
        self.config.with(|c| c.stamp(&lora)) == Some(model.declaration_digest)
    }

    /// Claim of the caller, its weight in the fair shares; 1 if none is declared.
    pub(super) fn caller_claim(&self, head: &RunHead) -> u32 {
        let claim = self
            .config
            .with(|c| c.callers.get(&head.caller).map(|x| x.claim));
        claim.unwrap_or(1)
    }
}

/// Adapter version that a model target asks for, as the unit that is loaded and unloaded.
pub(super) fn lora_of(model: &ModelTarget) -> Lora {
    Lora {
        base: model.base.clone(),
        adapter: model.adapter.clone(),
        version: model.version.clone(),
    }
}
