//! Simulated engine: prefills prompts one after the other, streams events, and loads adapters.

use std::collections::VecDeque;

use pumicecleat_policy::{EngineOrder, EngineReport, OrderOutcome, ReportedRun};
use pumicecleat_types::Millis;

use super::STEP_MS;

/// Properties of an engine. The code under test is given only the number of adapter slots and the batch size.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Prompt tokens prefilled per second.
    pub tokens_per_second: u64,
    /// Number of adapter slots.
    pub adapter_slots: u32,
    /// Load time from the weight store, ms.
    pub store_load_ms: u64,
    /// Load time from host memory, ms.
    pub cached_load_ms: u64,
    /// Number of adapters that the host caches in addition to the loaded ones.
    pub cache_size: usize,
    /// Time between two events of a stream without a prefill, ms.
    pub step_ms: u64,
    /// Time between two events of a stream during a prefill, ms.
    pub prefill_step_ms: u64,
}

pub struct Run {
    pub id: String,
    pub adapter: String,
    pub tokens_left: f64,
    pub events: u64,
    pub events_sent: u64,
    next_event_at: u64,
}

/// A simulated engine.
pub struct Engine {
    pub spec: EngineSpec,
    pub runs: Vec<Run>,
    loaded: Vec<String>,
    /// Adapters being loaded: name, remaining time in ms, and whether it comes from the store.
    loading: Vec<(String, f64, bool)>,
    host_cache: VecDeque<String>,
    /// Adapters that are unloaded as soon as no request uses them.
    unloading: Vec<String>,
    /// Whether adapters in use may be unloaded, as by an agent that started while requests were running.
    pub unloads_in_use: bool,
    sequence: u64,
    /// Total of prefilled prompt tokens.
    pub tokens_processed: f64,
    /// Total of loads from the weight store.
    pub store_loads: usize,
}

impl Engine {
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            runs: Vec::new(),
            loaded: Vec::new(),
            loading: Vec::new(),
            host_cache: VecDeque::new(),
            unloading: Vec::new(),
            unloads_in_use: false,
            sequence: 0,
            tokens_processed: 0.0,
            store_loads: 0,
        }
    }

    /// Restarts as another instance without any state.
    pub fn restart(&mut self) {
        *self = Self::new(self.spec);
    }

    pub fn send(&mut self, id: &str, adapter: &str, tokens: u32, events: u64) {
        assert!(self.is_loaded(adapter), "{adapter} is not loaded");
        self.runs.push(Run {
            id: id.to_owned(),
            adapter: adapter.to_owned(),
            tokens_left: f64::from(tokens),
            events,
            events_sent: 0,
            next_event_at: 0,
        });
    }

    fn is_loaded(&self, adapter: &str) -> bool {
        self.loaded.iter().any(|a| a == adapter)
    }

    /// Simulates one step. Returns the ids of requests that sent their first event and of those that ended.
    /// `slowdown` is the factor by which loads from the store currently take longer.
    pub fn step(&mut self, now: u64, slowdown: f64) -> (Vec<String>, Vec<String>) {
        let spec = self.spec;
        let done: Vec<String> = self.finish_loads(slowdown);
        self.loaded.extend(done);
        let prefilling = self.runs.iter().any(|r| r.tokens_left > 0.0);
        let mut token_budget = spec.tokens_per_second as f64 * STEP_MS as f64 / 1_000.0;
        let mut first = Vec::new();
        for run in &mut self.runs {
            if run.tokens_left > 0.0 {
                let part = run.tokens_left.min(token_budget);
                run.tokens_left -= part;
                token_budget -= part;
                self.tokens_processed += part;
                if run.tokens_left <= 0.0 {
                    run.events_sent = 1;
                    run.next_event_at = now + spec.step_ms;
                    first.push(run.id.clone());
                }
            } else if now >= run.next_event_at {
                run.events_sent += 1;
                run.next_event_at = now
                    + if prefilling {
                        spec.prefill_step_ms
                    } else {
                        spec.step_ms
                    };
            }
        }
        let ended = self.runs.iter().filter(|r| r.events_sent >= r.events);
        let ended: Vec<String> = ended.map(|r| r.id.clone()).collect();
        self.runs.retain(|r| r.events_sent < r.events);
        self.finish_unloads();
        (first, ended)
    }

    fn finish_loads(&mut self, slowdown: f64) -> Vec<String> {
        for (_, left, from_store) in &mut self.loading {
            *left -= STEP_MS as f64 / if *from_store { slowdown } else { 1.0 };
        }
        let done = self.loading.extract_if(.., |l| l.1 <= 0.0);
        done.map(|(name, ..)| name).collect()
    }

    /// Number of loads from the store in progress.
    pub fn store_loads_in_progress(&self) -> usize {
        self.loading.iter().filter(|l| l.2).count()
    }

    /// Carries out an order immediately, as engines do for adapters.
    pub fn order(&mut self, order: &EngineOrder, sequence: u64) -> OrderOutcome {
        if sequence != self.sequence {
            return OrderOutcome::Conflict;
        }
        match order {
            EngineOrder::LoadBase => OrderOutcome::Done,
            EngineOrder::Load { adapter, .. } => self.load(adapter),
            EngineOrder::Unload { adapter } => self.unload(adapter),
        }
    }

    fn load(&mut self, adapter: &str) -> OrderOutcome {
        assert!(!self.is_loaded(adapter), "{adapter} is loaded twice");
        let occupied = self.loaded.len() + self.loading.len();
        assert!(
            occupied < self.spec.adapter_slots as usize,
            "no slot for {adapter}"
        );
        let cached = self.host_cache.iter().position(|a| a == adapter);
        let load_ms = if let Some(at) = cached {
            self.host_cache.remove(at);
            self.spec.cached_load_ms
        } else {
            self.store_loads += 1;
            self.spec.store_load_ms
        };
        let from_store = cached.is_none();
        self.loading
            .push((adapter.to_owned(), load_ms as f64, from_store));
        self.sequence += 1;
        OrderOutcome::Accepted
    }

    fn unload(&mut self, adapter: &str) -> OrderOutcome {
        let in_use = self.runs.iter().any(|r| r.adapter == adapter);
        assert!(!in_use || self.unloads_in_use, "{adapter} is in use");
        self.sequence += 1;
        if in_use {
            self.unloading.push(adapter.to_owned());
            return OrderOutcome::Accepted;
        }
        self.finish_unload(adapter);
        OrderOutcome::Done
    }

    fn finish_unload(&mut self, adapter: &str) {
        self.loaded.retain(|a| a != adapter);
        self.host_cache.push_front(adapter.to_owned());
        self.host_cache.truncate(self.spec.cache_size);
    }

    fn finish_unloads(&mut self) {
        let runs = &self.runs;
        let is_unused = |adapter: &mut String| !runs.iter().any(|r| r.adapter == *adapter);
        let done: Vec<String> = self.unloading.extract_if(.., is_unused).collect();
        for adapter in done {
            self.finish_unload(&adapter);
        }
    }

    pub fn report(&self) -> EngineReport {
        let named = |name: &String| (name.clone(), 1);
        let started = self.runs.iter().filter(|r| r.events_sent > 0);
        let reported = started.map(|r| ReportedRun {
            request_id: r.id.clone(),
            events: r.events_sent,
        });
        EngineReport {
            sequence: self.sequence,
            base_loaded: true,
            loaded_adapters: self.loaded.iter().map(named).collect(),
            loading_adapters: self.loading.iter().map(|l| named(&l.0)).collect(),
            runs: reported.collect(),
            active: self.runs.len() as u32,
            ..EngineReport::default()
        }
    }
}

/// Simulated time as the code under test sees it.
pub fn millis(now: u64) -> Millis {
    Millis(now)
}
