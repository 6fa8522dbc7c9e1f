//! The engine's adapter slots: which adapters are resident, and which are pinned by requests in
//! flight.
//!
//! Invariant: a pinned adapter is never a victim, and an adapter being unloaded can't be pinned.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use crate::LoraIx;

/// Time for which an adapter that the engine refused to unload is no victim, so that others are
/// tried first.
const EVICTION_RETRY_DELAY: Millis = Millis(250);

/// Occupied adapter slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slot {
    /// Number of requests in flight, including those from before a restart of the side.
    pub(super) pins: u32,
    /// Time of the last send, load or refused unload.
    pub(super) last_used: Millis,
    /// An unload has been ordered.
    unloading: bool,
    /// No unload is ordered before then, after the engine kept the adapter.
    evictable_from: Millis,
}

/// Adapter slots of one engine.
#[derive(Clone, Debug)]
pub(super) struct Residency {
    capacity: usize,
    slots: BTreeMap<LoraIx, Slot>,
}

impl Residency {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            capacity: slots as usize,
            slots: BTreeMap::new(),
        }
    }

    pub(super) fn set_capacity(&mut self, slots: u32) {
        self.capacity = slots as usize;
    }

    /// Whether requests may be sent to the adapter.
    pub(super) fn is_ready(&self, lora: LoraIx) -> bool {
        self.slots.get(&lora).is_some_and(|s| !s.unloading)
    }

    /// Whether the adapter occupies a slot, be it ready or being unloaded.
    pub(super) fn occupies_slot(&self, lora: LoraIx) -> bool {
        self.slots.contains_key(&lora)
    }

    /// Adapters that requests may be sent to.
    pub(super) fn ready_adapters(&self) -> impl Iterator<Item = LoraIx> {
        self.slots
            .iter()
            .filter(|(_, s)| !s.unloading)
            .map(|(lora, _)| *lora)
    }

    /// Whether a slot is free.
    pub(super) fn has_free_slot(&self) -> bool {
        self.slots.len() < self.capacity
    }

    /// Number of slots that are free or not pinned.
    pub(super) fn spare_slots(&self) -> usize {
        let pinned = self.slots.values().filter(|s| s.pins > 0).count();
        self.capacity.saturating_sub(pinned)
    }

    /// Adapters that requests may be sent to, with their slots.
    pub(super) fn ready_slots(&self) -> impl Iterator<Item = (LoraIx, &Slot)> {
        let ready = self.slots.iter().filter(|(_, s)| !s.unloading);
        ready.map(|(lora, s)| (*lora, s))
    }

    /// Adapters that may be evicted now, with their slots.
    pub(super) fn evictable(&self, now: Millis) -> impl Iterator<Item = (LoraIx, &Slot)> {
        self.slots
            .iter()
            .filter(move |(_, s)| s.pins == 0 && !s.unloading && s.evictable_from <= now)
            .map(|(lora, s)| (*lora, s))
    }

    /// When the unload of an adapter that the engine kept may next be retried.
    pub(super) fn next_eviction_retry(&self, now: Millis) -> Option<Millis> {
        let times = self.slots.values().map(|s| s.evictable_from);
        times.filter(|at| *at > now).min()
    }

    /// Adds a resident adapter, or adds pins to it if it is known.
    pub(super) fn insert(&mut self, lora: LoraIx, pins: u32, now: Millis) {
        let slot = self.slots.entry(lora).or_insert(Slot {
            pins: 0,
            last_used: now,
            unloading: false,
            evictable_from: now,
        });
        slot.pins += pins;
    }

    /// Pins an adapter for a request; `false` if requests may not be sent to it.
    pub(super) fn pin(&mut self, lora: LoraIx, now: Millis) -> bool {
        match self.slots.get_mut(&lora) {
            Some(slot) if !slot.unloading => {
                slot.pins += 1;
                slot.last_used = now;
                true
            }
            _ => false,
        }
    }

    /// Removes one pin.
    pub(super) fn unpin(&mut self, lora: LoraIx) {
        if let Some(slot) = self.slots.get_mut(&lora) {
            slot.pins = slot.pins.saturating_sub(1);
        }
    }

    /// Starts an eviction; `false` if the adapter is pinned, being unloaded or not resident.
    pub(super) fn start_eviction(&mut self, lora: LoraIx) -> bool {
        match self.slots.get_mut(&lora) {
            Some(slot) if slot.pins == 0 && !slot.unloading => {
                slot.unloading = true;
                true
            }
            _ => false,
        }
    }

    /// Ends an eviction; `gone` is false if the engine kept the adapter.
    pub(super) fn end_eviction(&mut self, lora: LoraIx, gone: bool, now: Millis) {
        if gone {
            self.slots.remove(&lora);
        } else if let Some(slot) = self.slots.get_mut(&lora) {
            slot.unloading = false;
            slot.last_used = now;
            slot.evictable_from = now + EVICTION_RETRY_DELAY;
        }
    }

    /// Frees all slots.
    pub(super) fn clear(&mut self) {
        self.slots.clear();
    }
}
