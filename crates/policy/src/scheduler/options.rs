//! What a deployment sets for one side's decisions.

use pumicecleat_types::Millis;

/// Weights of the deployment's measures, in percent of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Load stalls.
    pub stall: u32,
    /// Full batches.
    pub batch: u32,
}

impl Weights {
    /// Part of the batch weight in both, from 0 to 1.
    #[must_use]
    pub fn batch_part(self) -> f64 {
        let both = self.stall.saturating_add(self.batch);
        if both == 0 {
            return 0.0;
        }
        f64::from(self.batch) / f64::from(both)
    }
}

/// Options of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerOptions {
    /// Adapter slots of the engine.
    pub slots: u32,
    /// Requests the engine batches at most.
    pub batch: u32,
    /// Requests that wait at most.
    pub queue: u32,
    /// Weights of the deployment; a batch weight over a half holds requests back at an idle upstream,
    /// which a plain service has no use for.
    pub weights: Weights,
    /// Longest hold of an idle engine for a fuller batch, at a batch weight of 100%.
    pub hold: Millis,
    /// Time of a load, until some have been seen.
    pub load: Millis,
    /// Time of one token, microseconds, until some answers have been seen.
    pub token_us: u32,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            batch: 8,
            queue: 256,
            weights: Weights {
                stall: 50,
                batch: 50,
            },
            hold: Millis(200),
            load: Millis(500),
            token_us: 12_000,
        }
    }
}
