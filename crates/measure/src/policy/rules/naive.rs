//! Naive side: first come first served, load on demand, evict the least recently used.
//!
//! An honest simple policy: a request whose adapter is resident does not wait behind one whose
//! adapter is not, only one load runs at a time at an engine, and a failed or refused load is
//! handled as the product handles it.

use std::collections::{BTreeMap, VecDeque};

use pumicecleat_policy::{Action, Job, JobId, JobRefusal, LoadOutcome, LoraIx};
use pumicecleat_types::{LoadFigures, LoadTurn, Millis, Reason};

use super::{Side, View};
use crate::policy::shape::{STEP, Shape};

/// Retry-After of every refusal.
const RETRY: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    pins: u32,
    used: Millis,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Idle { next: Millis },
    Evicting { lora: LoraIx },
    Loading,
}

/// Naive side.
pub(super) struct NaiveSide {
    shape: Shape,
    waiting: VecDeque<Job>,
    sent: BTreeMap<JobId, Option<LoraIx>>,
    held: BTreeMap<LoraIx, Held>,
    stage: Stage,
    closed: Option<Reason>,
    orders: Vec<Action>,
}

impl NaiveSide {
    pub(super) fn new(shape: &Shape) -> Self {
        Self {
            shape: *shape,
            waiting: VecDeque::new(),
            sent: BTreeMap::new(),
            held: BTreeMap::new(),
            stage: Stage::Idle { next: Millis(0) },
            closed: None,
            orders: Vec::new(),
        }
    }

    fn ready(&self, lora: Option<LoraIx>) -> bool {
        lora.is_none_or(|l| self.held.contains_key(&l))
    }

    fn send(&mut self, now: Millis) {
        while self.sent.len() < self.shape.batch as usize {
            let Some(at) = self.waiting.iter().position(|j| self.ready(j.lora)) else {
                return;
            };
            let Some(job) = self.waiting.remove(at) else {
                return;
            };
            if let Some(held) = job.lora.and_then(|l| self.held.get_mut(&l)) {
                held.pins += 1;
                held.used = now;
            }
            self.sent.insert(job.id, job.lora);
            self.orders.push(Action::Send(job.id));
        }
    }

    fn load(&mut self, now: Millis) {
        let Stage::Idle { next } = self.stage else {
            return;
        };
        let absent = self.waiting.iter().find(|j| !self.ready(j.lora));
        let Some(lora) = absent.and_then(|j| j.lora).filter(|_| now >= next) else {
            return;
        };
        if self.held.len() < self.shape.slots as usize {
            self.stage = Stage::Loading;
            self.orders.push(Action::Load(lora));
            return;
        }
        let unpinned = self.held.iter().filter(|(_, h)| h.pins == 0);
        let Some(victim) = unpinned.min_by_key(|(_, h)| h.used).map(|(l, _)| *l) else {
            return;
        };
        self.held.remove(&victim);
        self.stage = Stage::Evicting { lora };
        self.orders.push(Action::Unload(victim));
    }

    fn refuse_all(&mut self, reason: Reason, of: impl Fn(&Job) -> bool) {
        let refusal = JobRefusal {
            reason,
            retry_after: RETRY,
        };
        let (out, kept) = self.waiting.drain(..).partition::<Vec<_>, _>(|j| of(j));
        self.waiting = kept.into();
        let refusals = out.iter().map(|j| Action::Refuse(j.id, refusal));
        self.orders.extend(refusals);
    }
}

impl Side for NaiveSide {
    fn submit(&mut self, job: Job, now: Millis) -> Result<(), JobRefusal> {
        let full = self.waiting.len() >= self.shape.queue as usize;
        let reason = self.closed.or(full.then_some(Reason::Overloaded));
        if let Some(reason) = reason {
            return Err(JobRefusal {
                reason,
                retry_after: RETRY,
            });
        }
        if let Some(held) = job.lora.and_then(|l| self.held.get_mut(&l)) {
            held.used = now;
        }
        self.waiting.push_back(job);
        Ok(())
    }

    fn poll(&mut self, now: Millis) -> Vec<Action> {
        self.send(now);
        self.load(now);
        std::mem::take(&mut self.orders)
    }

    fn next_wake(&self, now: Millis) -> Option<Millis> {
        match self.stage {
            Stage::Idle { next } if next > now => Some(next),
            _ => None,
        }
    }

    fn finished(&mut self, id: JobId, _whole: bool, _now: Millis) {
        let lora = self.sent.remove(&id).flatten();
        if let Some(held) = lora.and_then(|l| self.held.get_mut(&l)) {
            held.pins -= 1;
        }
    }

    fn cancel(&mut self, id: JobId) {
        self.waiting.retain(|j| j.id != id);
    }

    fn turn(&mut self, _turn: LoadTurn, _now: Millis) {}

    fn no_turn(&mut self, _roll: u64, _now: Millis) {}

    fn loaded(&mut self, lora: LoraIx, end: LoadOutcome, now: Millis) {
        self.stage = Stage::Idle { next: now };
        match end {
            LoadOutcome::Done => {
                let held = Held { pins: 0, used: now };
                self.held.insert(lora, held);
            }
            LoadOutcome::Failed => self.refuse_all(Reason::LoadFailed, |j| j.lora == Some(lora)),
            LoadOutcome::Busy { retry_after } => {
                self.stage = Stage::Idle {
                    next: now + retry_after,
                }
            }
        }
    }

    fn unloaded(&mut self, _lora: LoraIx, _now: Millis) {
        if let Stage::Evicting { lora } = self.stage {
            self.stage = Stage::Loading;
            self.orders.push(Action::Load(lora));
        }
    }

    fn close(&mut self, reason: Reason) {
        self.closed = Some(reason);
        self.refuse_all(reason, |_| true);
    }

    fn reopen(&mut self, now: Millis) {
        self.closed = None;
        self.sent.clear();
        self.held.clear();
        self.stage = Stage::Idle { next: now };
    }

    fn view(&self) -> View {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let load = LoadFigures {
            running: count(self.sent.len()),
            waiting: count(self.waiting.len()),
            max_batch_size: self.shape.batch,
            slots: self.shape.slots,
            spare_slots: 0,
            step_us: u32::try_from(STEP.0.0 * 1_000).unwrap_or(u32::MAX),
            wait_ms: 0,
        };
        View {
            load,
            resident: self.held.keys().copied().collect(),
            loading: None,
        }
    }
}
