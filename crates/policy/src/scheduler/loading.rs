//! The load in progress at a side, from the bid until the adapter is resident.
//!
//! A side has at most one load in progress. Each adapter whose load failed has its own back-off.
//! When no entry answers a bid, the side waits for a random time and then loads without a turn.
//! Collisions of such loads are left to the weight store, which refuses loads while it is busy.

use std::collections::BTreeMap;

use pumicecleat_types::{LoadTurn, Millis};

use crate::LoraIx;

/// Back-off after the first failed load; doubles with each further one.
const MIN_BACK_OFF: Millis = Millis(1_000);

/// Longest back-off.
const MAX_BACK_OFF: Millis = Millis(30_000);

/// Most doublings of the random delay before a load without a turn.
const MAX_DOUBLINGS: u32 = 3;

/// Stage of the load in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No load; a bid may be made from `bid_at` on.
    Idle { bid_at: Millis },
    /// A bid was made and has no answer yet.
    Bidding,
    /// No entry answered the bid; the load starts without a turn at `at`.
    WithoutTurn { at: Millis },
    /// The turn was granted; the load may start until the turn expires.
    Granted { until: Millis },
    /// `victim` is being unloaded to free a slot for `lora`.
    Evicting { lora: LoraIx, victim: LoraIx },
    /// The adapter is being loaded; the turn is to be renewed from `renew_at` on.
    Loading {
        lora: LoraIx,
        ordered_at: Millis,
        renew_at: Millis,
    },
}

#[derive(Clone, Copy, Debug)]
struct BackOff {
    until: Millis,
    failures: u32,
}

/// The load in progress.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    /// Stage of the load.
    pub(super) stage: Stage,
    /// An entry may still count the turn as held by this side.
    pub(super) turn_held: bool,
    /// A bid has no answer yet, even if the load that it was for has ended.
    pub(super) bid_pending: bool,
    /// The load in progress has no turn.
    without_turn: bool,
    /// Recent loads without a turn that seem to have been slowed down by concurrent loads.
    collisions: u32,
    back_offs: BTreeMap<LoraIx, BackOff>,
}

impl Loading {
    pub(super) fn new() -> Self {
        Self {
            stage: Stage::Idle { bid_at: Millis(0) },
            turn_held: false,
            bid_pending: false,
            without_turn: false,
            collisions: 0,
            back_offs: BTreeMap::new(),
        }
    }

    /// Adapter that the engine is loading, or will load after the eviction under way.
    pub(super) fn lora(&self) -> Option<LoraIx> {
        match self.stage {
            Stage::Evicting { lora, .. } | Stage::Loading { lora, .. } => Some(lora),
            _ => None,
        }
    }

    /// When the load of this adapter was ordered, if it is the one in progress.
    pub(super) fn ordered_at(&self, lora: LoraIx) -> Option<Millis> {
        match self.stage {
            Stage::Loading {
                lora: loading,
                ordered_at,
                ..
            } if loading == lora => Some(ordered_at),
            _ => None,
        }
    }

    /// An entry answered the bid.
    pub(super) fn bid_answered(&mut self, turn: LoadTurn, now: Millis) {
        self.without_turn = false;
        self.bid_pending = false;
        match (turn, &mut self.stage) {
            (LoadTurn::Granted { ttl_ms }, Stage::Loading { renew_at, .. }) => {
                *renew_at = now + Millis(ttl_ms / 2);
            }
            (LoadTurn::Wait { again_ms, .. }, Stage::Loading { renew_at, .. }) => {
                *renew_at = now + Millis(again_ms);
            }
            (LoadTurn::Granted { ttl_ms }, stage @ Stage::Bidding) => {
                let until = now + Millis(ttl_ms);
                *stage = Stage::Granted { until };
                self.turn_held = true;
            }
            (LoadTurn::Wait { again_ms, .. }, stage @ Stage::Bidding) => {
                let bid_at = now + Millis(again_ms);
                *stage = Stage::Idle { bid_at };
                self.turn_held = false;
            }
            // The load that the bid was for has ended; the turn is released or used for another
            // load.
            (LoadTurn::Granted { .. }, Stage::Idle { .. }) => self.turn_held = true,
            (_, _) => {}
        }
    }

    /// An entry asks for the bid earlier than planned.
    pub(super) fn bid_requested(&mut self, now: Millis) {
        if let Stage::Idle { bid_at } = &mut self.stage {
            *bid_at = now.min(*bid_at);
        }
    }

    /// No entry answered the bid: plans a load without a turn after a random delay, whose upper
    /// bound doubles with each recent collision.
    pub(super) fn bid_unanswered(&mut self, load_time: Millis, roll: u64, now: Millis) {
        self.turn_held = false;
        self.bid_pending = false;
        match &mut self.stage {
            Stage::Loading { renew_at, .. } => *renew_at = now + load_time,
            stage @ Stage::Bidding => {
                let window = load_time.0.max(1) << self.collisions;
                let at = now + Millis(roll % window);
                *stage = Stage::WithoutTurn { at };
                self.without_turn = true;
            }
            _ => {}
        }
    }

    /// A load succeeded. One without a turn that took more than 1.5 times the expected `load_time`
    /// counts as a collision with another load.
    pub(super) fn load_succeeded(&mut self, took: Millis, load_time: Millis) {
        if !self.without_turn {
            self.collisions = 0;
        } else if took.0 * 2 > load_time.0 * 3 {
            self.collisions = (self.collisions + 1).min(MAX_DOUBLINGS);
        } else {
            self.collisions = self.collisions.saturating_sub(1);
        }
    }

    /// A load failed; returns the time for which the adapter is not loaded again.
    pub(super) fn start_back_off(&mut self, lora: LoraIx, now: Millis) -> Millis {
        self.back_offs
            .retain(|_, b| now.since(b.until) < MAX_BACK_OFF);
        let failures = self.back_offs.get(&lora).map_or(0, |b| b.failures);
        let back_off = Millis(MIN_BACK_OFF.0 << failures.min(5)).min(MAX_BACK_OFF);
        let until = now + back_off;
        let failures = failures + 1;
        self.back_offs.insert(lora, BackOff { until, failures });
        back_off
    }

    /// The adapter was loaded: ends its back-off.
    pub(super) fn clear_back_off(&mut self, lora: LoraIx) {
        self.back_offs.remove(&lora);
    }

    /// Time left of the adapter's back-off, if it has one.
    pub(super) fn back_off_left(&self, lora: LoraIx, now: Millis) -> Option<Millis> {
        let until = self.back_offs.get(&lora)?.until;
        (until > now).then(|| until - now)
    }

    /// When the stage next needs a poll.
    pub(super) fn wake(&self) -> Option<Millis> {
        match self.stage {
            Stage::Idle { bid_at } => Some(bid_at),
            Stage::WithoutTurn { at } => Some(at),
            Stage::Granted { until } => Some(until),
            Stage::Loading { renew_at, .. } => Some(renew_at),
            Stage::Bidding | Stage::Evicting { .. } => None,
        }
    }
}
