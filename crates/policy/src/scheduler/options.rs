//! Options of one side's scheduler, as a deployment sets them.

use pumicecleat_types::Millis;

/// Weights of the deployment's objectives, in percent; only their ratio counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObjectiveWeights {
    /// Weight of keeping load stalls short.
    pub stall: u32,
    /// Weight of filling the engine's batches.
    pub batch: u32,
}

impl ObjectiveWeights {
    /// Batch weight as a fraction of the sum of both, from 0 to 1.
    #[must_use]
    pub fn batch_fraction(self) -> f64 {
        let both = self.stall.saturating_add(self.batch);
        if both == 0 {
            return 0.0;
        }
        f64::from(self.batch) / f64::from(both)
    }

    /// Longest time to spend on fuller batches, where `max_time` applies at a batch weight of 100%.
    /// It scales with the square of the batch fraction's excess over one half, so that a deployment
    /// that weighs stalls at least as much as batches spends none.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a part of a span far below 2^52 ms"
    )]
    pub fn scale_by_batch(self, max_time: Millis) -> Millis {
        let excess = (self.batch_fraction() - 0.5).max(0.0) * 2.0;
        Millis((max_time.0 as f64 * excess * excess) as u64)
    }
}

/// Options of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerOptions {
    /// Number of the engine's adapter slots.
    pub slots: u32,
    /// Most requests that the engine runs in one batch.
    pub max_batch: u32,
    /// Most requests that wait in the queue.
    pub max_queue: u32,
    /// Objective weights. With a batch weight over one half, requests are held back at an idle
    /// upstream to fill a batch, which is of no use to a plain service.
    pub weights: ObjectiveWeights,
    /// Longest time to hold requests back at an idle engine for a fuller batch, at a batch weight
    /// of 100%.
    pub max_hold: Millis,
    /// Expected time of a load: the estimate until loads have been measured, and the base of the
    /// delay before a load without a turn.
    pub expected_load_time: Millis,
    /// Estimated time of one token until answers have been measured, in microseconds.
    pub initial_token_us: u32,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            max_batch: 8,
            max_queue: 256,
            weights: ObjectiveWeights {
                stall: 50,
                batch: 50,
            },
            max_hold: Millis(200),
            expected_load_time: Millis(500),
            initial_token_us: 12_000,
        }
    }
}
