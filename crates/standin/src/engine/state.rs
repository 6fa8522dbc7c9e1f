//! What the engine holds, and how a step, a request and a restart change it.

use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::adapters::Adapters;
use super::batch::{Batch, Left, Run};
use super::effects::Effects;
use super::fencing::Fencing;
use super::metrics::{Lagging, Sample};
use super::prefix::Prefixes;
use super::{EngineFaults, EngineOptions};

/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;

/// State of the engine.
pub(crate) struct State {
    /// Requests.
    pub(crate) batch: Batch,
    /// `LoRAs`.
    pub(crate) adapters: Adapters,
    /// Fencing numbers.
    pub(crate) fencing: Fencing,
    /// Effects.
    pub(crate) effects: Effects,
    /// Prefix cache.
    pub(crate) prefixes: Prefixes,
    /// Past load figures.
    pub(crate) lagging: Lagging,
    /// Request that waits for another to swap answers with.
    pub(crate) parked: Option<Run>,
    /// End of a restart under way.
    pub(crate) cold_until: Millis,
    rng: ChaCha8Rng,
}

impl State {
    /// Empty engine.
    pub(crate) fn new(options: &EngineOptions) -> Self {
        Self {
            batch: Batch::new(options.batch),
            adapters: Adapters::new(options.slots),
            fencing: Fencing::new(options.check_fencing),
            effects: Effects::default(),
            prefixes: Prefixes::new(options.cache),
            lagging: Lagging::default(),
            parked: None,
            cold_until: Millis(0),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, run: Run) {
        self.batch.push(run);
    }

    /// Adds a request whose answer is swapped with the next such one's.
    pub(crate) fn push_crossed(&mut self, mut run: Run) {
        match self.parked.take() {
            Some(parked) if parked.is_abandoned() => {
                self.effects.leave(&parked, Left::Aborted);
                self.parked = Some(run);
            }
            Some(mut parked) => {
                std::mem::swap(&mut run.out, &mut parked.out);
                self.batch.push(parked);
                self.batch.push(run);
            }
            None => self.parked = Some(run),
        }
    }

    /// Admits what waits and gives the time of the next step, in which its prompts are read.
    pub(crate) fn begin_step(&mut self, options: &EngineOptions, faults: &EngineFaults) -> Millis {
        let words = self.batch.admit();
        let reading = Millis(words * options.prefill_us / MICROS);
        self.step_span(options, faults) + reading
    }

    fn step_span(&mut self, options: &EngineOptions, faults: &EngineFaults) -> Millis {
        let slow = self.rng.random_bool(options.slow_chance.clamp(0.0, 1.0));
        let span = if slow {
            options.slow_ms
        } else {
            options.step_ms
        };
        scale(span, faults.slow_factor)
    }

    /// One token for each request that runs.
    pub(crate) fn step(&mut self, die_at: &mut Option<u64>) {
        let stepped = self.batch.step(die_at);
        let counters = &mut self.effects.counters;
        counters.steps += 1;
        counters.tokens += stepped.tokens;
        for (run, left) in stepped.gone {
            self.effects.leave(&run, left);
        }
    }

    /// Drops everything but the effects, and is cold until `until`.
    pub(crate) fn restart(&mut self, until: Millis) {
        let dropped = self.batch.clear();
        for run in dropped.iter().chain(&self.parked.take()) {
            self.effects.leave(run, Left::Broken);
        }
        self.adapters.clear();
        self.prefixes.clear();
        self.cold_until = until;
    }

    /// A request in the engine uses the LoRA.
    pub(crate) fn uses(&self, lora: &str) -> bool {
        let parked = self.parked.as_ref().is_some_and(|r| r.lora == lora);
        parked || self.batch.uses(lora)
    }

    /// Load figures as they were at `until`.
    pub(crate) fn sample_at(&mut self, until: Millis) -> Sample {
        self.lagging.at(until)
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "spans of steps are small and positive"
)]
fn scale(span: u64, factor: f64) -> Millis {
    Millis((span as f64 * factor.max(0.0)).round().max(1.0) as u64)
}
