//! What the configuration sets for a side's queue and keys, and taking a change of it in.

use std::time::Duration;

use pumicecleat_config::model::{Pool, PoolKind};
use pumicecleat_ledger::{LimitError, Limits};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{ObjectiveWeights, SchedulerOptions};
use pumicecleat_types::Millis;

use crate::state::{CONFIG, State, Upstream};

/// Expected time of a call of a plain service until some have been seen, microseconds.
const FIRST_CALL: u32 = 20_000;
/// Expected time of a token until some answers have been seen, microseconds.
const FIRST_TOKEN: u32 = 12_000;
/// Expected time of a load until some have been seen: the store gives about two a second.
const FIRST_LOAD: Millis = Millis(500);
/// How far a key's time may lie ahead of this VM's clock.
const AHEAD: Millis = Millis(60_000);

impl State {
    /// Options of the queue before the upstream.
    pub(crate) fn scheduler_options(&self, pool: &Pool) -> SchedulerOptions {
        let tuning = self.config.with(|c| Some(c.tuning)).unwrap_or_default();
        let weights = ObjectiveWeights {
            stall: tuning.stall,
            batch: tuning.batch,
        };
        let (slots, batch, token_us) = match &pool.kind {
            PoolKind::Model { slots, batch, .. } => (*slots, *batch, FIRST_TOKEN),
            PoolKind::Service { concurrency, .. } => (0, *concurrency, FIRST_CALL),
        };
        SchedulerOptions {
            slots,
            max_batch: batch,
            max_queue: pool.queue,
            weights,
            max_hold: Millis(tuning.hold_ms),
            expected_load_time: FIRST_LOAD,
            initial_token_us: token_us,
        }
    }

    /// Limits of keys; a window that the log does not outlast is refused.
    pub(crate) fn key_limits(&self) -> Result<Limits, LimitError> {
        let declared = self.config.with(|c| Some(c.limits.window_s)).unwrap_or(0);
        let window = Millis(declared.saturating_mul(1_000));
        Limits::new(window, AHEAD, millis(self.settings.retention.0))
    }

    /// Takes in what a new revision sets.
    pub(crate) fn retune(&self) {
        let Some(work) = self.work() else {
            return;
        };
        if let Some(pool) = self.config.pool(self.pool()) {
            work.dispatcher.set_options(self.scheduler_options(&pool));
        }
        let Upstream::Service(_, keys) = &work.upstream else {
            return;
        };
        match self.key_limits() {
            Ok(limits) => keys.set_limits(limits),
            Err(e) => self.refuse_limits(&e),
        }
    }

    fn refuse_limits(&self, error: &LimitError) {
        let fields = [field("step", "limits of keys"), field("error", error)];
        self.log.emit(&events::INTERNAL, &fields);
        self.readiness.fail(CONFIG, &error.to_string());
    }
}

pub(crate) fn millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
