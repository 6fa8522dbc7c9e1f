//! Model of one engine with its side: a batch, a queue, slots, and a freeze in which no answer
//! begins.

use std::collections::{BTreeMap, VecDeque};

use pumicecleat_policy::{LoraIx, UpstreamStatus};
use pumicecleat_types::LoadFigures;

/// Requests that run at once.
pub const BATCH: usize = 8;

/// Adapter slots.
pub const SLOTS: usize = 8;

/// Mean run time of a request, milliseconds.
pub const SERVICE: u64 = 2_000;

/// Step time, milliseconds.
pub const STEP: u64 = 10;

/// One engine.
#[derive(Default)]
pub struct Engine {
    /// Attempts that run, with their adapters.
    pub running: BTreeMap<usize, LoraIx>,
    queue: VecDeque<(usize, LoraIx)>,
    /// Resident adapters with the time from which they are usable, least recently used first.
    slots: Vec<(LoraIx, u64)>,
}

/// An attempt that begins to run.
pub struct Begun {
    pub attempt: usize,
    /// Time from which its adapter is usable.
    pub ready: u64,
}

/// The weight store: one load at a time.
pub struct Store {
    pub load: u64,
    pub free: u64,
    pub loads: u64,
}

impl Store {
    fn load(&mut self, now: u64) -> u64 {
        self.free = self.free.max(now) + self.load;
        self.loads += 1;
        self.free
    }
}

impl Engine {
    /// Holds an adapter from the start, if there is a slot left.
    pub fn warm(&mut self, lora: LoraIx) {
        if self.slots.len() < SLOTS {
            self.slots.push((lora, 0));
        }
    }

    pub fn push(&mut self, attempt: usize, lora: LoraIx) {
        self.queue.push_back((attempt, lora));
    }

    /// Takes an attempt out, whether it runs or waits.
    pub fn remove(&mut self, attempt: usize) {
        self.running.remove(&attempt);
        self.queue.retain(|q| q.0 != attempt);
    }

    /// Begins what fits into the batch.
    pub fn begin(&mut self, store: &mut Store, now: u64) -> Vec<Begun> {
        let mut begun = Vec::new();
        while self.running.len() < BATCH {
            let Some((attempt, lora)) = self.queue.pop_front() else {
                break;
            };
            let ready = self.hold(lora, store, now);
            self.running.insert(attempt, lora);
            begun.push(Begun { attempt, ready });
        }
        begun
    }

    fn hold(&mut self, lora: LoraIx, store: &mut Store, now: u64) -> u64 {
        if let Some(at) = self.slots.iter().position(|s| s.0 == lora) {
            let slot = self.slots.remove(at);
            self.slots.push(slot);
            return slot.1;
        }
        if self.slots.len() >= SLOTS {
            let unused = self.slots.iter().position(|s| !self.uses(s.0));
            self.slots.remove(unused.unwrap_or(0));
        }
        let ready = store.load(now);
        self.slots.push((lora, ready));
        ready
    }

    fn uses(&self, lora: LoraIx) -> bool {
        self.running.values().any(|&l| l == lora)
    }

    /// Adapters usable now.
    pub fn resident(&self, now: u64) -> Vec<LoraIx> {
        let usable = self.slots.iter().filter(|s| s.1 <= now);
        usable.map(|s| s.0).collect()
    }

    /// Adapter being loaded.
    pub fn loading(&self, now: u64) -> Option<LoraIx> {
        self.slots.iter().find(|s| s.1 > now).map(|s| s.0)
    }

    pub fn figures(&self) -> UpstreamStatus {
        let spare = self.slots.iter().filter(|s| !self.uses(s.0)).count();
        let wait = self.queue.len() as u64 * SERVICE / BATCH as u64;
        let load = LoadFigures {
            running: short(self.running.len()),
            waiting: short(self.queue.len()),
            batch: short(BATCH),
            slots: short(SLOTS),
            spare: short(spare + SLOTS - self.slots.len()),
            step_us: short(usize::try_from(STEP).unwrap_or(0) * 1_000),
            wait_ms: u32::try_from(wait).unwrap_or(u32::MAX),
        };
        UpstreamStatus {
            load,
            leaving: false,
            healthy: true,
        }
    }
}

fn short(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
