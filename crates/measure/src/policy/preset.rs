//! The two deployments of the brief.

use std::str::FromStr;

use pumicecleat_policy::ObjectiveWeights;
use pumicecleat_types::Millis;

use super::shape::Shape;

/// Deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// Csillagkapu: load stalls weigh more.
    Csillagkapu,
    /// Vithu Koottam: full batches weigh more.
    Vithu,
}

impl Preset {
    pub(super) fn shape(self) -> Shape {
        match self {
            Self::Csillagkapu => csillagkapu(),
            Self::Vithu => vithu(),
        }
    }
}

fn csillagkapu() -> Shape {
    Shape {
        name: "csillagkapu",
        centres: 3,
        engines: 9,
        entries: 3,
        adapters: 3_000,
        slots: 6,
        batch: 8,
        queue: 64,
        callers: 12,
        rate: 2.0,
        limit: 600,
        span: Millis(20_000),
        weights: ObjectiveWeights {
            stall: 90,
            batch: 10,
        },
        hold: Millis(200),
        prefix: None,
        cache: 40_000,
        first: None,
    }
}

fn vithu() -> Shape {
    Shape {
        name: "vithu",
        centres: 4,
        span: Millis(60_000),
        limit: 1_000,
        weights: ObjectiveWeights {
            stall: 10,
            batch: 90,
        },
        ..csillagkapu()
    }
}

impl FromStr for Preset {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "csillagkapu" => Ok(Self::Csillagkapu),
            "vithu" => Ok(Self::Vithu),
            _ => Err(format!("no deployment is named {s:?}")),
        }
    }
}
