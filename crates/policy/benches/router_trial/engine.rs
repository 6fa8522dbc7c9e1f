//! Model of one engine with its side: a batch, a queue and adapter slots.

use std::collections::{BTreeMap, VecDeque};

use pumicecleat_policy::{LoraIx, UpstreamStatus};
use pumicecleat_types::LoadFigures;

/// Requests that run at once.
pub const BATCH_SIZE: usize = 8;

/// Adapter slots.
pub const SLOTS: usize = 8;

/// Mean run time of a request, milliseconds.
pub const SERVICE_MS: u64 = 2_000;

/// Step time, milliseconds.
pub const STEP_MS: u64 = 10;

/// One engine.
#[derive(Default)]
pub struct Engine {
    /// Running attempts with their adapters.
    pub running: BTreeMap<usize, LoraIx>,
    queue: VecDeque<(usize, LoraIx)>,
    /// Adapters in slots with the time from which they are usable, least recently used first.
    slots: Vec<(LoraIx, u64)>,
}

/// Attempt that has started to run.
pub struct StartedAttempt {
    pub attempt: usize,
    /// Time from which its adapter is usable.
    pub ready_at: u64,
}

/// Weight store, which serves one load at a time.
pub struct Store {
    pub load_ms: u64,
    pub free_at: u64,
    pub load_count: u64,
}

impl Store {
    fn load(&mut self, now: u64) -> u64 {
        self.free_at = self.free_at.max(now) + self.load_ms;
        self.load_count += 1;
        self.free_at
    }
}

impl Engine {
    /// Makes an adapter resident from the start of the run, if there is a free slot.
    pub fn preload(&mut self, lora: LoraIx) {
        if self.slots.len() < SLOTS {
            self.slots.push((lora, 0));
        }
    }

    pub fn enqueue(&mut self, attempt: usize, lora: LoraIx) {
        self.queue.push_back((attempt, lora));
    }

    /// Removes an attempt, whether it is running or queued.
    pub fn remove(&mut self, attempt: usize) {
        self.running.remove(&attempt);
        self.queue.retain(|q| q.0 != attempt);
    }

    /// Starts queued attempts while the batch has room.
    pub fn start_queued(&mut self, store: &mut Store, now: u64) -> Vec<StartedAttempt> {
        let mut started = Vec::new();
        while self.running.len() < BATCH_SIZE {
            let Some((attempt, lora)) = self.queue.pop_front() else {
                break;
            };
            let ready_at = self.ensure_resident(lora, store, now);
            self.running.insert(attempt, lora);
            started.push(StartedAttempt { attempt, ready_at });
        }
        started
    }

    fn ensure_resident(&mut self, lora: LoraIx, store: &mut Store, now: u64) -> u64 {
        if let Some(at) = self.slots.iter().position(|s| s.0 == lora) {
            let slot = self.slots.remove(at);
            self.slots.push(slot);
            return slot.1;
        }
        if self.slots.len() >= SLOTS {
            let unused = self.slots.iter().position(|s| !self.is_in_use(s.0));
            self.slots.remove(unused.unwrap_or(0));
        }
        let ready_at = store.load(now);
        self.slots.push((lora, ready_at));
        ready_at
    }

    fn is_in_use(&self, lora: LoraIx) -> bool {
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
        let spare = self.slots.iter().filter(|s| !self.is_in_use(s.0)).count();
        let wait = self.queue.len() as u64 * SERVICE_MS / BATCH_SIZE as u64;
        let load = LoadFigures {
            running: to_u32(self.running.len()),
            waiting: to_u32(self.queue.len()),
            max_batch_size: to_u32(BATCH_SIZE),
            slots: to_u32(SLOTS),
            spare_slots: to_u32(spare + SLOTS - self.slots.len()),
            step_us: to_u32(usize::try_from(STEP_MS).unwrap_or(0) * 1_000),
            wait_ms: u32::try_from(wait).unwrap_or(u32::MAX),
        };
        UpstreamStatus {
            load,
            leaving: false,
            healthy: true,
        }
    }
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
