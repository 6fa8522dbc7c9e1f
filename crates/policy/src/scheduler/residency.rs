//! The engine's adapter slots: what is resident, and what is pinned by requests in flight.
//!
//! Invariant: an adapter with a pin is never handed out as a victim, and one being unloaded takes
//! no pin.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use crate::LoraIx;

/// Span in which an adapter that the engine kept is not tried again: others come first.
const KEPT: Millis = Millis(250);

/// A slot that holds an adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slot {
    /// Requests in flight, with those that a restarted side can't account for.
    pub(super) pins: u32,
    /// Time of the last send, or of the load.
    pub(super) used: Millis,
    /// An unload has been ordered.
    leaving: bool,
    /// No unload before then: the engine kept it.
    kept: Millis,
}

/// Slots of one engine.
#[derive(Clone, Debug)]
pub(super) struct Residency {
    slots: usize,
    held: BTreeMap<LoraIx, Slot>,
}

impl Residency {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            held: BTreeMap::new(),
        }
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots as usize;
    }

    /// Whether requests may be sent to it.
    pub(super) fn ready(&self, lora: LoraIx) -> bool {
        self.held.get(&lora).is_some_and(|s| !s.leaving)
    }

    /// Whether it takes a slot.
    pub(super) fn holds(&self, lora: LoraIx) -> bool {
        self.held.contains_key(&lora)
    }

    /// Adapters that requests may be sent to.
    pub(super) fn ready_all(&self) -> impl Iterator<Item = LoraIx> {
        self.held
            .iter()
            .filter(|(_, s)| !s.leaving)
            .map(|(lora, _)| *lora)
    }

    /// Whether a slot is free.
    pub(super) fn has_room(&self) -> bool {
        self.held.len() < self.slots
    }

    /// Slots free or without pins.
    pub(super) fn spare(&self) -> usize {
        let pinned = self.held.values().filter(|s| s.pins > 0).count();
        self.slots.saturating_sub(pinned)
    }

    /// Adapters that requests may be sent to, with their slots.
    pub(super) fn slots(&self) -> impl Iterator<Item = (LoraIx, &Slot)> {
        let ready = self.held.iter().filter(|(_, s)| !s.leaving);
        ready.map(|(lora, s)| (*lora, s))
    }

    /// Adapters that may be evicted now.
    pub(super) fn unpinned(&self, now: Millis) -> impl Iterator<Item = (LoraIx, &Slot)> {
        self.held
            .iter()
            .filter(move |(_, s)| s.pins == 0 && !s.leaving && s.kept <= now)
            .map(|(lora, s)| (*lora, s))
    }

    /// When the next adapter that the engine kept may be tried again.
    pub(super) fn next_try(&self, now: Millis) -> Option<Millis> {
        let kept = self.held.values().map(|s| s.kept);
        kept.filter(|at| *at > now).min()
    }

    /// Takes a slot for a loaded adapter.
    pub(super) fn put(&mut self, lora: LoraIx, pins: u32, now: Millis) {
        let slot = self.held.entry(lora).or_insert(Slot {
            pins: 0,
            used: now,
            leaving: false,
            kept: now,
        });
        slot.pins += pins;
    }

    /// Pins an adapter for a request; `false` if requests may not be sent to it.
    pub(super) fn pin(&mut self, lora: LoraIx, now: Millis) -> bool {
        match self.held.get_mut(&lora) {
            Some(slot) if !slot.leaving => {
                slot.pins += 1;
                slot.used = now;
                true
            }
            _ => false,
        }
    }

    /// Takes one pin off.
    pub(super) fn unpin(&mut self, lora: LoraIx) {
        if let Some(slot) = self.held.get_mut(&lora) {
            slot.pins = slot.pins.saturating_sub(1);
        }
    }

    /// Starts an eviction; `false` if it is pinned or not there.
    pub(super) fn evict(&mut self, lora: LoraIx) -> bool {
        match self.held.get_mut(&lora) {
            Some(slot) if slot.pins == 0 && !slot.leaving => {
                slot.leaving = true;
                true
            }
            _ => false,
        }
    }

    /// Ends an eviction: gone, or kept by the engine.
    pub(super) fn evicted(&mut self, lora: LoraIx, gone: bool, now: Millis) {
        if gone {
            self.held.remove(&lora);
        } else if let Some(slot) = self.held.get_mut(&lora) {
            slot.leaving = false;
            slot.used = now;
            slot.kept = now + KEPT;
        }
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.held.clear();
    }
}
