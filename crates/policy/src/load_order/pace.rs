//! How long turns take: a slow store shows in them.

use pumicecleat_types::Millis;

/// Weight of the newest turn, as one over.
const NEW: u64 = 4;

/// A turn lapses after this many expected loads.
const LAPSE: u64 = 4;

/// Shortest time of a load that is believed.
const SHORTEST: Millis = Millis(20);

/// Longest time of a load that is believed.
const LONGEST: Millis = Millis(30_000);

/// Learned time of a load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    load: Millis,
}

impl Pace {
    pub(super) fn new(load: Millis) -> Self {
        Self { load }
    }

    /// A turn took `took`. One that stood still in an outage tells little of the next: none counts for
    /// more than the time in which a turn lapses.
    pub(super) fn took(&mut self, took: Millis) {
        let took = took.min(self.ttl()).clamp(SHORTEST, LONGEST);
        let kept = self.load.0 * (NEW - 1);
        self.load = Millis((kept + took.0) / NEW);
    }

    /// Expected time of a load.
    pub(super) fn load(self) -> Millis {
        self.load
    }

    /// Span after which a turn lapses.
    pub(super) fn ttl(self) -> Millis {
        Millis(self.load.0 * LAPSE)
    }
}
