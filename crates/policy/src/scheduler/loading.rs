//! The one load that a side has in hand, from the bid to the adapter's slot.
//!
//! Only one load is in hand at a time. Adapters whose load failed back off, each by itself. When no
//! entry answers a bid, the side waits for a random span and then loads without a turn; the store's
//! own pushback settles what collides.

use std::collections::BTreeMap;

use pumicecleat_types::{LoadTurn, Millis};

use crate::LoraIx;

/// Back-off after the first failed load.
const FIRST_BACK_OFF: Millis = Millis(1_000);

/// Back-off at most.
const LONGEST_BACK_OFF: Millis = Millis(30_000);

/// Doublings of the span before a load without a turn.
const MOST_DOUBLINGS: u32 = 3;

/// Where the load in hand stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No load; a bid may be made from `next` on.
    Idle { next: Millis },
    /// A bid is out.
    Asked,
    /// No entry answered; goes without a turn at `at`.
    Alone { at: Millis },
    /// May load until the turn lapses.
    Granted { until: Millis },
    /// A slot is being freed.
    Evicting { lora: LoraIx, victim: LoraIx },
    /// Being loaded; the turn is to be kept from `renew` on.
    Loading {
        lora: LoraIx,
        since: Millis,
        renew: Millis,
    },
}

#[derive(Clone, Copy, Debug)]
struct BackOff {
    until: Millis,
    times: u32,
}

/// The load in hand.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    /// Where it stands.
    pub(super) stage: Stage,
    /// A turn may be held at an entry.
    pub(super) held: bool,
    /// A bid is out, whatever has become of its load.
    pub(super) asking: bool,
    /// The load in hand goes without a turn.
    alone: bool,
    /// Loads without a turn that others seem to have slowed down.
    collisions: u32,
    failed: BTreeMap<LoraIx, BackOff>,
}

impl Loading {
    pub(super) fn new() -> Self {
        Self {
            stage: Stage::Idle { next: Millis(0) },
            held: false,
            asking: false,
            alone: false,
            collisions: 0,
            failed: BTreeMap::new(),
        }
    }

    /// Adapter that the engine is loading or about to.
    pub(super) fn lora(&self) -> Option<LoraIx> {
        match self.stage {
            Stage::Evicting { lora, .. } | Stage::Loading { lora, .. } => Some(lora),
            _ => None,
        }
    }

    /// When the load of this adapter was ordered, if it is the one in hand.
    pub(super) fn since(&self, lora: LoraIx) -> Option<Millis> {
        match self.stage {
            Stage::Loading {
                lora: at, since, ..
            } if at == lora => Some(since),
            _ => None,
        }
    }

    /// An entry answered.
    pub(super) fn turn(&mut self, turn: LoadTurn, now: Millis) {
        self.alone = false;
        self.asking = false;
        match (turn, &mut self.stage) {
            (LoadTurn::Go { ttl_ms }, Stage::Loading { renew, .. }) => {
                *renew = now + Millis(ttl_ms / 2);
            }
            (LoadTurn::Wait { again_ms, .. }, Stage::Loading { renew, .. }) => {
                *renew = now + Millis(again_ms);
            }
            (LoadTurn::Go { ttl_ms }, stage @ Stage::Asked) => {
                let until = now + Millis(ttl_ms);
                *stage = Stage::Granted { until };
                self.held = true;
            }
            (LoadTurn::Wait { again_ms, .. }, stage @ Stage::Asked) => {
                let next = now + Millis(again_ms);
                *stage = Stage::Idle { next };
                self.held = false;
            }
            // The load that the bid was for has ended; the turn is given back or used again.
            (LoadTurn::Go { .. }, Stage::Idle { .. }) => self.held = true,
            (_, _) => {}
        }
    }

    /// An entry calls for the bid before its time.
    pub(super) fn called(&mut self, now: Millis) {
        if let Stage::Idle { next } = &mut self.stage {
            *next = now.min(*next);
        }
    }

    /// No entry answered: goes alone after a random span, longer where loads have collided.
    pub(super) fn no_turn(&mut self, load: Millis, roll: u64, now: Millis) {
        self.held = false;
        self.asking = false;
        match &mut self.stage {
            Stage::Loading { renew, .. } => *renew = now + load,
            stage @ Stage::Asked => {
                let window = load.0.max(1) << self.collisions;
                let at = now + Millis(roll % window);
                *stage = Stage::Alone { at };
                self.alone = true;
            }
            _ => {}
        }
    }

    /// A load ended well; one without a turn that took long has met another.
    pub(super) fn took(&mut self, took: Millis, load: Millis) {
        if !self.alone {
            self.collisions = 0;
        } else if took.0 * 2 > load.0 * 3 {
            self.collisions = (self.collisions + 1).min(MOST_DOUBLINGS);
        } else {
            self.collisions = self.collisions.saturating_sub(1);
        }
    }

    /// A load failed; gives the span in which it won't be tried.
    pub(super) fn back_off(&mut self, lora: LoraIx, now: Millis) -> Millis {
        self.failed
            .retain(|_, b| now.since(b.until) < LONGEST_BACK_OFF);
        let times = self.failed.get(&lora).map_or(0, |b| b.times);
        let span = Millis(FIRST_BACK_OFF.0 << times.min(5)).min(LONGEST_BACK_OFF);
        let until = now + span;
        let times = times + 1;
        self.failed.insert(lora, BackOff { until, times });
        span
    }

    /// A load went well.
    pub(super) fn forgive(&mut self, lora: LoraIx) {
        self.failed.remove(&lora);
    }

    /// Span in which the adapter won't be tried, if it backs off.
    pub(super) fn backs_off(&self, lora: LoraIx, now: Millis) -> Option<Millis> {
        let until = self.failed.get(&lora)?.until;
        (until > now).then(|| until - now)
    }

    /// When the stage acts by itself.
    pub(super) fn wake(&self) -> Option<Millis> {
        match self.stage {
            Stage::Idle { next } => Some(next),
            Stage::Alone { at } => Some(at),
            Stage::Granted { until } => Some(until),
            Stage::Loading { renew, .. } => Some(renew),
            Stage::Asked | Stage::Evicting { .. } => None,
        }
    }
}
