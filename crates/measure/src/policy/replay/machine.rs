//! One upstream of a replay: its engine, its side and how they stand.

use pumicecleat_policy::{LoraIx, UpstreamIx, UpstreamStatus};
use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::event::At;
use crate::policy::model::{Engine, PrefixCache};
use crate::policy::rules::{Rules, Side};
use crate::policy::shape::{SLOW_STEPS, STEP, Shape};

/// Engine with its side.
pub(super) struct Machine {
    pub(super) engine: Engine,
    pub(super) cache: PrefixCache,
    pub(super) side: Box<dyn Side>,
    pub(super) at: At,
    pub(super) up: bool,
    pub(super) leaving: bool,
    /// Adapter that the engine is loading.
    pub(super) loading: Option<LoraIx>,
    /// Earliest wake that is scheduled.
    pub(super) wake: Option<Millis>,
    rng: ChaCha8Rng,
}

impl Machine {
    pub(super) fn new(shape: &Shape, rules: Rules, up: UpstreamIx, seed: u64) -> Self {
        Self {
            engine: Engine::new(shape),
            cache: PrefixCache::new(shape.cache),
            side: rules.side(shape),
            at: At { up, life: 0 },
            up: true,
            leaving: false,
            loading: None,
            wake: None,
            rng: ChaCha8Rng::seed_from_u64(seed ^ (u64::from(up.0) << 32)),
        }
    }

    /// Time of the next step.
    pub(super) fn step(&mut self) -> Millis {
        let slow = self.rng.random::<f64>() < SLOW_STEPS;
        let step = if slow { STEP.1 } else { STEP.0 };
        step + self.engine.read_prompts()
    }

    /// State as reported.
    pub(super) fn state(&self) -> UpstreamStatus {
        UpstreamStatus {
            load: self.side.view().load,
            leaving: self.leaving,
            healthy: self.up,
        }
    }
}
