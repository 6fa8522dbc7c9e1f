//! What is told of an engine.

use pumicecleat_types::{EngineFigures, EngineTraits, Millis};

use super::{TurnScheduler, Waiting, whole};
use crate::prompt::engine::AdapterState;

impl TurnScheduler {
    /// The engine as the entries are told of it.
    #[must_use]
    pub fn figures(&self, instance: &str, now: Millis) -> EngineFigures {
        let waiting = self.waiting.values();
        let waiting: u64 = waiting.map(|w| u64::from(w.request.prompt_tokens)).sum();
        let running = self.runs.len() + self.waiting.len();
        EngineFigures {
            instance: instance.to_owned(),
            born: 0,
            ready_ms: self.ready_in(now).map(|t| t.0),
            held: self.places.held().map(|(n, v)| (n.clone(), v)).collect(),
            loading: self.places.coming().cloned().collect(),
            spare: self.spare_places(None),
            unread: self.unread() + waiting,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            traits: self.traits(),
        }
    }

    /// How fast the engine works, as far as it was learned.
    fn traits(&self) -> EngineTraits {
        let times = self.places.times();
        let keeps = times.keeps().unwrap_or_default();
        EngineTraits {
            rate: whole(self.pace.rate().unwrap_or_default()),
            load_ms: times.store().0,
            kept_ms: times.host().0,
            keeps: u32::try_from(keeps).unwrap_or(u32::MAX),
        }
    }

    /// Adapters that the host's memory keeps beside those that the engine holds.
    #[must_use]
    pub fn cached_adapters(&self) -> Vec<String> {
        self.places.kept().cloned().collect()
    }

    /// How the engine stands to an adapter.
    #[must_use]
    pub fn adapter_state(&self, adapter: &str, version: u64) -> AdapterState {
        if self.usable(adapter, version).is_some() {
            AdapterState::Loaded
        } else if self.places.is_coming(adapter) {
            AdapterState::Loading
        } else if self.places.kept().any(|name| name == adapter) {
            AdapterState::Cached
        } else {
            AdapterState::Absent
        }
    }

    /// Whether a request waits for its adapter, so that each report may let it go.
    #[must_use]
    pub fn is_waiting_for_adapter(&self) -> bool {
        let absent = |w: &Waiting| {
            let adapter = w.request.adapter.as_deref();
            adapter.is_some_and(|a| self.usable(a, w.request.min_version).is_none())
        };
        self.waiting.values().any(absent)
    }
}
