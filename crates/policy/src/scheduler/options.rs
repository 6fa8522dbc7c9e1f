//! What a deployment sets for one side's decisions.

use pumicecleat_types::Millis;

/// Weights of the deployment's measures, in percent of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObjectiveWeights {
    /// Load stalls.
    pub stall: u32,
    /// Full batches.
    pub batch: u32,
}

impl ObjectiveWeights {
    /// Part of the batch weight in both, from 0 to 1.
    #[must_use]
    pub fn batch_fraction(self) -> f64 {
        let both = self.stall.saturating_add(self.batch);
        if both == 0 {
            return 0.0;
        }
        f64::from(self.batch) / f64::from(both)
    }

    /// What to give up at most for fuller batches, of `most` at full weight: it falls with the
    /// square of what the batch weight is over a half, so that a deployment that weighs stalls as
    /// much or more gives up nothing.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a part of a span far below 2^52 ms"
    )]
    pub fn scale_by_batch(self, most: Millis) -> Millis {
        let over = (self.batch_fraction() - 0.5).max(0.0) * 2.0;
        Millis((most.0 as f64 * over * over) as u64)
    }
}

/// Options of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerOptions {
    /// Adapter slots of the engine.
    pub slots: u32,
    /// Requests the engine batches at most.
    pub max_batch: u32,
    /// Requests that wait at most.
    pub max_queue: u32,
    /// Weights of the deployment; a batch weight over a half holds requests back at an idle upstream,
    /// which a plain service has no use for.
    pub weights: ObjectiveWeights,
    /// Longest hold of an idle engine for a fuller batch, at a batch weight of 100%.
    pub max_hold: Millis,
    /// Time of a load, until some have been seen.
    pub expected_load_time: Millis,
    /// Time of one token, microseconds, until some answers have been seen.
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
