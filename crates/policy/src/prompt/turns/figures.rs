//! Figures that describe an engine to the gateways.

use pumicecleat_types::{EngineFigures, EngineTraits, Millis};

use super::{TurnScheduler, WaitingRequest, to_integer};
use crate::prompt::engine::AdapterState;

impl TurnScheduler {
    /// Current figures of the engine, as sent to gateways.
    #[must_use]
    pub fn figures(&self, instance: &str, now: Millis) -> EngineFigures {
        let waiting = self.waiting.values();
        let waiting_tokens: u64 = waiting.map(|w| u64::from(w.request.prompt_tokens)).sum();
        let running = self.running.len() + self.waiting.len();
        EngineFigures {
            instance: instance.to_owned(),
            start_time_ms: 0,
            ready_ms: self.ready_in(now).map(|t| t.0),
            loaded_adapters: self.slots.loaded().map(|(n, v)| (n.clone(), v)).collect(),
            loading_adapters: self.slots.loading().cloned().collect(),
            available_slots: self.available_slots(None),
            unread_tokens: self.outstanding_tokens() + waiting_tokens,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            traits: self.traits(),
        }
    }

    /// Learned speed of the engine.
    fn traits(&self) -> EngineTraits {
        let load_times = self.slots.load_times();
        let cache_size = load_times.cache_size().unwrap_or_default();
        EngineTraits {
            tokens_per_s: to_integer(self.prefill_rate.tokens_per_second().unwrap_or_default()),
            store_load_ms: load_times.store_load_time().0,
            cached_load_ms: load_times.cached_load_time().0,
            cache_size: u32::try_from(cache_size).unwrap_or(u32::MAX),
        }
    }

    /// Allowed number of concurrent loads from the weight store.
    #[must_use]
    pub fn load_window(&self) -> f64 {
        self.slots.load_times().window().size()
    }

    /// Adapters that the host caches in memory in addition to those loaded in the engine.
    #[must_use]
    pub fn cached_adapters(&self) -> Vec<String> {
        self.slots.cached().cloned().collect()
    }

    /// State of an adapter at the engine.
    #[must_use]
    pub fn adapter_state(&self, adapter: &str, min_version: u64) -> AdapterState {
        if self.usable(adapter, min_version).is_some() {
            AdapterState::Loaded
        } else if self.slots.is_loading(adapter) {
            AdapterState::Loading
        } else if self.slots.cached().any(|name| name == adapter) {
            AdapterState::Cached
        } else {
            AdapterState::Absent
        }
    }

    /// Whether a request waits for its adapter, so that the next report may allow it to be sent.
    #[must_use]
    pub fn is_waiting_for_adapter(&self) -> bool {
        let is_unusable = |w: &WaitingRequest| {
            let adapter = w.request.adapter.as_deref();
            adapter.is_some_and(|a| self.usable(a, w.request.min_version).is_none())
        };
        self.waiting.values().any(is_unusable)
    }
}
