//! Flags of the measurement.

use argh::FromArgs;
use pumicecleat_types::Millis;

use super::shape::Shape;
use super::trace::Load;
use super::{Fault, PrefixMode, Preset};

/// Least and greatest Zipf exponent over the seeds of a run.
const ZIPF: (f64, f64) = (0.9, 1.3);

/// measure the decisions on seeded traces, in virtual time
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "policy")]
pub struct PolicyArgs {
    /// deployment: csillagkapu or vithu
    #[argh(option, default = "Preset::Csillagkapu")]
    pub preset: Preset,
    /// number of seeds (default 10)
    #[argh(option, default = "10")]
    pub seeds: u64,
    /// first seed (default 1)
    #[argh(option, default = "1")]
    pub first: u64,
    /// length of a trace, seconds (default 600)
    #[argh(option, default = "600")]
    pub seconds: u64,
    /// requests a second, in place of the preset's
    #[argh(option)]
    pub rate: Option<f64>,
    /// longest hold for a fuller batch, milliseconds at full weight, in place of the preset's
    #[argh(option)]
    pub hold: Option<u64>,
    /// zipf exponent, in place of 0.9 to 1.3 spread over the seeds
    #[argh(option)]
    pub zipf: Option<f64>,
    /// fault: cold-restart, failed-loads, store-slow, store-down, late-reports, leaving, centre-lost
    /// or order-down
    #[argh(option, default = "Fault::None")]
    pub fault: Fault,
    /// shift popularity at half time
    #[argh(switch)]
    pub shift: bool,
    /// one caller floods in the middle third
    #[argh(switch)]
    pub flood: bool,
    /// model prompts, which ours heeds or not: blind or meeting
    #[argh(option)]
    pub prefix: Option<PrefixMode>,
    /// tokens that an engine's prefix cache holds (default 40000)
    #[argh(option)]
    pub cache: Option<u32>,
    /// worth of the holder where a conversation meets, in place of the router's, tokens
    #[argh(option)]
    pub first_worth: Option<u32>,
    /// print only the summary
    #[argh(switch)]
    pub brief: bool,
}

impl PolicyArgs {
    pub(super) fn shape(&self) -> Shape {
        let mut shape = self.preset.shape();
        shape.rate = self.rate.unwrap_or(shape.rate);
        shape.prefix = self.prefix;
        shape.first = self.first_worth;
        shape.cache = self.cache.unwrap_or(shape.cache);
        shape.hold = self.hold.map_or(shape.hold, Millis);
        shape
    }

    pub(super) fn seeds(&self) -> std::ops::Range<u64> {
        self.first..self.first + self.seeds
    }

    pub(super) fn load(&self, seed: u64) -> Load {
        Load {
            seed,
            seconds: self.seconds,
            zipf: self.zipf.unwrap_or_else(|| self.spread(seed)),
            shift: self.shift,
            flood: self.flood,
        }
    }

    /// The same trace without its flood or shift.
    pub(super) fn calm(&self, seed: u64) -> Load {
        Load {
            flood: false,
            shift: false,
            ..self.load(seed)
        }
    }

    #[allow(clippy::cast_precision_loss, reason = "seeds are few")]
    fn spread(&self, seed: u64) -> f64 {
        let steps = self.seeds.saturating_sub(1).max(1);
        let part = (seed - self.first) as f64 / steps as f64;
        ZIPF.0 + part * (ZIPF.1 - ZIPF.0)
    }
}
