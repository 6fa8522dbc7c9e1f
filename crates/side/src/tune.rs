//! Options of the queue and limits of the idempotency keys, as the configuration sets them.

use std::time::Duration;

use pumicecleat_config::model::{Pool, PoolKind};
use pumicecleat_ledger::{LimitError, Limits};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{ObjectiveWeights, SchedulerOptions};
use pumicecleat_types::Millis;

use crate::state::{CONFIG_CONDITION, State, Upstream};

/// Expected time of a call of a plain service before the first answer, in microseconds.
const INITIAL_CALL_US: u32 = 20_000;
/// Expected time of a token before the first answer, in microseconds.
const INITIAL_TOKEN_US: u32 = 12_000;
/// Expected time of a load before the first one; the weight store serves about two loads a second.
const INITIAL_LOAD_TIME: Millis = Millis(500);
/// How far the time in a key may be ahead of this VM's clock.
const MAX_KEY_TIME_AHEAD: Millis = Millis(60_000);

impl State {
    /// Options of the scheduler of the upstream's queue.
    pub(crate) fn scheduler_options(&self, pool: &Pool) -> SchedulerOptions {
        let tuning = self.config.with(|c| Some(c.tuning)).unwrap_or_default();
        let weights = ObjectiveWeights {
            stall: tuning.stall,
            batch: tuning.batch,
        };
        let (slots, batch, token_us) = match &pool.kind {
            PoolKind::Model { slots, batch, .. } => (*slots, *batch, INITIAL_TOKEN_US),
            PoolKind::Service { concurrency, .. } => (0, *concurrency, INITIAL_CALL_US),
        };
        SchedulerOptions {
            slots,
            max_batch: batch,
            max_queue: pool.queue,
            weights,
            max_hold: Millis(tuning.hold_ms),
            expected_load_time: INITIAL_LOAD_TIME,
            initial_token_us: token_us,
        }
    }

    /// Limits of the idempotency keys.
    ///
    /// # Errors
    /// [`LimitError`] if the log's retention is too short for the window of the keys.
    pub(crate) fn key_limits(&self) -> Result<Limits, LimitError> {
        let declared = self.config.with(|c| Some(c.limits.window_s)).unwrap_or(0);
        let window = Millis(declared.saturating_mul(1_000));
        Limits::new(
            window,
            MAX_KEY_TIME_AHEAD,
            to_millis(self.settings.retention.0),
        )
    }

    /// Applies the options and limits of a new revision.
    pub(crate) fn apply_options(&self) {
        let Some(backend) = self.backend() else {
            return;
        };
        if let Some(pool) = self.config.pool(self.pool()) {
            backend
                .dispatcher
                .set_options(self.scheduler_options(&pool));
        }
        let Upstream::Service(_, keys) = &backend.upstream else {
            return;
        };
        match self.key_limits() {
            Ok(limits) => keys.set_limits(limits),
            Err(e) => self.reject_limits(&e),
        }
    }

    fn reject_limits(&self, error: &LimitError) {
        let fields = [field("step", "limits of keys"), field("error", error)];
        self.log.emit(&events::INTERNAL, &fields);
        self.readiness
            .set_unmet(CONFIG_CONDITION, &error.to_string());
    }
}

pub(crate) fn to_millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
