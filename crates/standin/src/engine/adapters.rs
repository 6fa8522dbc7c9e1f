//! LoRA slots: resident, or reserved while loading.

use std::collections::BTreeMap;

/// Slots of the engine.
pub(crate) struct Adapters {
    slots: usize,
    resident: BTreeMap<String, String>,
    loading: BTreeMap<String, Ticket>,
    next: u64,
}

/// A slot reserved for one load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ticket(u64);

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
            loading: BTreeMap::new(),
            next: 0,
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
    pub(crate) fn reserve(&mut self, name: &str) -> Result<Ticket, NoReserve> {
        if self.resident.contains_key(name) || self.loading.contains_key(name) {
            return Err(NoReserve::Present);
        }
        if self.resident.len() + self.loading.len() >= self.slots {
            return Err(NoReserve::Full);
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        self.loading.insert(name.into(), ticket);
        Ok(ticket)
    }

    /// Makes a loaded LoRA resident; false if its slot was dropped meanwhile.
    pub(crate) fn settle(&mut self, name: &str, path: &str, ticket: Ticket) -> bool {
        let reserved = self.release(name, ticket);
        if reserved {
            self.resident.insert(name.into(), path.into());
        }
        reserved
    }

    /// Gives a reserved slot back; false if it was dropped meanwhile.
    pub(crate) fn release(&mut self, name: &str, ticket: Ticket) -> bool {
        let reserved = self.loading.get(name) == Some(&ticket);
        if reserved {
            self.loading.remove(name);
        }
        reserved
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
