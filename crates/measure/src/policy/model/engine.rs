//! A model engine: steps in which each running request gets a token, and adapter slots.
//!
//! It checks what the policies promise: a request runs only with its adapter resident, the slots
//! and the batch are never overfull, and no adapter goes while a request uses it.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_policy::{JobId, LoraIx};
use pumicecleat_types::Millis;

use crate::policy::shape::Shape;

#[derive(Clone, Copy, Debug)]
struct Running {
    lora: LoraIx,
    left: u32,
    /// Time that its prompt still takes, until the step that reads it.
    prefill: Option<Millis>,
    begun: bool,
}

/// What a step has ended.
#[derive(Debug, Default)]
pub(crate) struct Stepped {
    pub(crate) ended: Vec<JobId>,
    /// Those that got their first token.
    pub(crate) begun: Vec<JobId>,
    pub(crate) idle: bool,
}

/// Model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    slots: usize,
    batch: usize,
    held: BTreeSet<LoraIx>,
    running: BTreeMap<JobId, Running>,
    /// Steps with at least one request.
    pub(crate) steps: u64,
}

impl Engine {
    pub(crate) fn new(shape: &Shape) -> Self {
        Self {
            slots: shape.slots as usize,
            batch: shape.batch as usize,
            held: BTreeSet::new(),
            running: BTreeMap::new(),
            steps: 0,
        }
    }

    /// Starts a request, whose prompt takes `prefill` if prompts are modelled; `true` if the engine
    /// was idle.
    pub(crate) fn start(
        &mut self,
        id: JobId,
        lora: LoraIx,
        tokens: u32,
        prefill: Option<Millis>,
    ) -> bool {
        assert!(self.held.contains(&lora), "{lora:?} is not resident");
        assert!(self.running.len() < self.batch, "batch is full");
        let idle = self.running.is_empty();
        let left = tokens.max(1);
        let running = Running {
            lora,
            left,
            prefill,
            begun: false,
        };
        self.running.insert(id, running);
        idle
    }

    /// Cancels a request.
    pub(crate) fn cancel(&mut self, id: JobId) {
        self.running.remove(&id);
    }

    /// Time that prompts add to the step that begins now.
    pub(crate) fn read_prompts(&mut self) -> Millis {
        let prompts = self.running.values_mut().filter_map(|r| r.prefill.take());
        prompts.fold(Millis(0), |sum, span| sum + span)
    }

    /// One step: each running request gets a token.
    pub(crate) fn step(&mut self) -> Stepped {
        if !self.running.is_empty() {
            self.steps += 1;
        }
        let (mut ended, mut begun) = (Vec::new(), Vec::new());
        let read = self.running.iter_mut().filter(|(_, r)| r.prefill.is_none());
        for (id, running) in read {
            running.left -= 1;
            if !running.begun {
                running.begun = true;
                begun.push(*id);
            }
            if running.left == 0 {
                ended.push(*id);
            }
        }
        for id in &ended {
            self.running.remove(id);
        }
        let idle = self.running.is_empty();
        Stepped { ended, begun, idle }
    }

    pub(crate) fn holds(&self, lora: LoraIx) -> bool {
        self.held.contains(&lora)
    }

    /// A load has ended well.
    pub(crate) fn put(&mut self, lora: LoraIx) {
        assert!(self.held.len() < self.slots, "no slot for {lora:?}");
        self.held.insert(lora);
    }

    pub(crate) fn unload(&mut self, lora: LoraIx) {
        let used = self.running.values().any(|r| r.lora == lora);
        assert!(!used, "{lora:?} is in use");
        self.held.remove(&lora);
    }

    /// Loses everything; gives the requests that were running.
    pub(crate) fn crash(&mut self) -> Vec<JobId> {
        self.held.clear();
        let running = std::mem::take(&mut self.running);
        running.into_keys().collect()
    }
}
