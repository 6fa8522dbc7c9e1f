//! LoRA slots: resident, or reserved while loading.

use std::collections::{BTreeMap, BTreeSet};

/// Slots of the engine.
pub(crate) struct Adapters {
    slots: usize,
    resident: BTreeMap<String, String>,
    loading: BTreeSet<String>,
}

/// Why a load can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReserve {
    /// It is resident or loading.
    Present,
    /// No slot is free.
    Full,
}

impl Adapters {
    /// So many free slots.
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            resident: BTreeMap::new(),
            loading: BTreeSet::new(),
        }
    }

    /// Resident `LoRAs`: name and path.
    pub(crate) fn resident(&self) -> &BTreeMap<String, String> {
        &self.resident
    }

    /// Slots in all.
    pub(crate) fn slots(&self) -> usize {
        self.slots
    }

    /// Reserves a slot for a load.
    pub(crate) fn reserve(&mut self, name: &str) -> Result<(), NoReserve> {
        if self.resident.contains_key(name) || self.loading.contains(name) {
            return Err(NoReserve::Present);
        }
        if self.resident.len() + self.loading.len() >= self.slots {
            return Err(NoReserve::Full);
        }
        self.loading.insert(name.into());
        Ok(())
    }

    /// Makes a loaded LoRA resident; false if its slot was dropped meanwhile.
    pub(crate) fn settle(&mut self, name: &str, path: &str) -> bool {
        let reserved = self.loading.remove(name);
        if reserved {
            self.resident.insert(name.into(), path.into());
        }
        reserved
    }

    /// Gives a reserved slot back.
    pub(crate) fn release(&mut self, name: &str) {
        self.loading.remove(name);
    }

    /// Takes a resident LoRA out; false if it is not there.
    pub(crate) fn unload(&mut self, name: &str) -> bool {
        self.resident.remove(name).is_some()
    }

    /// Empties all slots.
    pub(crate) fn clear(&mut self) {
        self.resident.clear();
        self.loading.clear();
    }
}
