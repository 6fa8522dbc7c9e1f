//! State that a scheduler reports.

use pumicecleat_types::LoadFigures;

use super::Scheduler;
use crate::LoraIx;

impl Scheduler {
    /// Load figures of the upstream, as of the latest poll.
    #[must_use]
    pub fn figures(&self) -> LoadFigures {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let wait = self.median_wait(self.polled_at);
        LoadFigures {
            running: self.running(),
            waiting: count(self.queue.len()),
            max_batch_size: self.options.max_batch,
            slots: self.options.slots,
            spare_slots: count(self.residency.spare_slots()),
            step_us: self.estimate.step_us(),
            wait_ms: u32::try_from(wait.0).unwrap_or(u32::MAX),
        }
    }

    /// Adapters that requests may be sent to.
    #[must_use]
    pub fn resident(&self) -> Vec<LoraIx> {
        self.residency.ready_adapters().collect()
    }

    /// Adapter that is being loaded, or will be after the eviction under way.
    #[must_use]
    pub fn loading(&self) -> Option<LoraIx> {
        self.loading.lora()
    }

    /// Number of requests at the engine.
    pub(super) fn running(&self) -> u32 {
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let unaccounted: u32 = self.unaccounted.values().sum();
        sent.saturating_add(unaccounted)
    }
}
