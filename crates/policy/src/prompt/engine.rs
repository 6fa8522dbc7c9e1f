//! Choice of engine in the gateway: the engine with the lowest expected time to the first event.

use pumicecleat_types::{EngineFigures, EngineTraits};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time of a load from the weight store while none has been measured, ms. It only has to differ from zero:
/// the first requests measure the real value.
const DEFAULT_STORE_LOAD_MS: f64 = 100.0;

/// Time of a load from host memory while none has been measured, as a fraction of a load from the weight
/// store.
const DEFAULT_CACHED_LOAD_RATIO: f64 = 0.2;

/// Cost of a load from the weight store in addition to its own time, in store loads. All engines share the
/// bandwidth of the store, and caching the adapter on one more host evicts another adapter from that cache.
/// Taking the host caches into account, instead of home ranks alone, reduced loads from the store by 4 in
/// 100 over 60 simulated days; a third of this cost and twice this cost gave no significant difference.
const STORE_LOAD_COST_LOADS: f64 = 1.0;

/// Expected remaining part of a load in progress, as a fraction of a whole load.
const REMAINING_LOAD_RATIO: f64 = 0.4;

/// Cost of a load that evicts another adapter, in store loads: the evicted adapter has to be loaded again
/// later.
const EVICTION_COST_LOADS: f64 = 1.3;

/// Cost of an engine without an available adapter slot, in store loads: a slot is freed when a stream ends,
/// which takes longer than any load.
const NO_SLOT_COST_LOADS: f64 = 3.0;

/// Cost of each rank below the adapter's home, in store loads, where no host has the adapter cached. It makes
/// gateways that choose at the same time agree on one engine. A sixth, a half and one gave no significant
/// difference over 60 simulated days.
const HOME_RANK_COST_LOADS: f64 = 0.5;

/// Number of home ranks that are distinguished.
const HOME_RANKS: usize = 3;

/// Cost of stale figures, ms: the engine or its agent may be down.
const STALE_COST_MS: f64 = 400.0;

/// Cost of an engine in another data centre, ms: a round trip of two times 1.4 ms.
const REMOTE_COST_MS: f64 = 3.0;

/// Cost of each running request, ms: it lengthens the engine's decode steps.
const RUNNING_COST_MS: f64 = 1.5;

/// Cost of the prefill for each running stream, as a fraction of the prefill time. During a prefill the
/// other streams of the engine almost stop and keep their adapter slots occupied. The cost sends prompts to
/// engines with few streams, so that engines specialise in prefill or in decoding. With long prompts and long
/// answers, 0.921 of requests got their first event in time, and 0.908 without this cost (`prompt_load`).
const STREAM_STALL_RATIO: f64 = 0.15;

/// State of an adapter at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdapterState {
    /// Loaded at a sufficient version, or the request needs no adapter.
    Loaded,
    /// A load is in progress.
    Loading,
    /// Not loaded, but cached in the memory of the engine's host.
    Cached,
    /// Has to be loaded from the weight store.
    #[default]
    Absent,
}

impl AdapterState {
    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Loaded => "held",
            Self::Loading => "coming",
            Self::Cached => "kept",
            Self::Absent => "absent",
        }
    }

    /// Whether the adapter still needs an adapter slot.
    #[must_use]
    pub fn needs_slot(self) -> bool {
        matches!(self, Self::Cached | Self::Absent)
    }
}

/// What a gateway knows about an engine, in relation to one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineView {
    /// Hash key of the engine, the same in every gateway.
    pub key: u64,
    /// State of the requested adapter.
    pub adapter_state: AdapterState,
    /// Adapter slots that another adapter could take.
    pub available_slots: u32,
    /// Prompt tokens that wait for prefill, including those this gateway has just sent.
    pub unread_tokens: u64,
    /// Prompt tokens of the request.
    pub prompt_tokens: u32,
    /// Learned speed of the engine; zero where unknown.
    pub traits: EngineTraits,
    /// Running requests.
    pub running: u32,
    /// Time until the engine accepts requests, ms.
    pub ready_in_ms: u64,
    /// The figures are too old to rely on.
    pub stale: bool,
    /// The engine is in another data centre.
    pub remote: bool,
    /// Cost of recent failures, ms.
    pub failure_penalty_ms: u64,
}

/// What a request needs of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineNeeds<'a> {
    /// Adapter, if the request uses one.
    pub adapter: Option<&'a str>,
    /// Minimum version of the adapter.
    pub min_version: u64,
    /// Prompt tokens.
    pub prompt_tokens: u32,
}

impl EngineNeeds<'_> {
    /// State of the requested adapter at an engine whose host caches the adapters `cached`.
    #[must_use]
    pub fn adapter_state(
        &self,
        figures: Option<&EngineFigures>,
        cached: &[String],
    ) -> AdapterState {
        let Some(name) = self.adapter else {
            return AdapterState::Loaded;
        };
        let is_loaded = |f: &EngineFigures| {
            let mut loaded = f.loaded_adapters.iter();
            loaded.any(|(adapter, version)| adapter == name && *version >= self.min_version)
        };
        let is_loading = |f: &EngineFigures| f.loading_adapters.iter().any(|l| l == name);
        if figures.is_some_and(is_loaded) {
            AdapterState::Loaded
        } else if figures.is_some_and(is_loading) {
            AdapterState::Loading
        } else if cached.iter().any(|c| c == name) {
            AdapterState::Cached
        } else {
            AdapterState::Absent
        }
    }

    /// View of the engine `instance`, by its latest figures.
    #[must_use]
    pub fn view(
        &self,
        instance: &str,
        figures: Option<&EngineFigures>,
        cached: &[String],
    ) -> EngineView {
        EngineView {
            key: crate::name_key(instance),
            adapter_state: self.adapter_state(figures, cached),
            available_slots: figures.map_or(0, |f| f.available_slots),
            unread_tokens: figures.map_or(0, |f| f.unread_tokens),
            prompt_tokens: self.prompt_tokens,
            traits: figures.map(|f| f.traits).unwrap_or_default(),
            running: figures.map_or(0, |f| f.running),
            ready_in_ms: figures.and_then(|f| f.ready_ms).unwrap_or_default(),
            ..EngineView::default()
        }
    }
}

/// Chooses an engine for requests that use one adapter.
#[derive(Clone, Copy, Debug)]
pub struct EngineChoice {
    adapter_key: u64,
}

impl EngineChoice {
    /// Creates the choice for an adapter. Its key must be the same in every gateway.
    #[must_use]
    pub fn new(adapter_key: u64) -> Self {
        Self { adapter_key }
    }

    /// Index of the engine with the lowest expected time to the first event.
    #[must_use]
    pub fn pick(self, engines: &[EngineView]) -> Option<usize> {
        let costs = self.costs(engines);
        let indexed = costs.iter().enumerate();
        indexed.min_by(|a, b| a.1.total_cmp(b.1)).map(|(i, _)| i)
    }

    /// Indices of the `count` engines with the lowest expected times to the first event, lowest first.
    #[must_use]
    pub fn rank(self, engines: &[EngineView], count: usize) -> Vec<usize> {
        let costs = self.costs(engines);
        let mut order: Vec<usize> = (0..engines.len()).collect();
        order.sort_by(|a, b| costs[*a].total_cmp(&costs[*b]));
        order.truncate(count);
        order
    }

    fn costs(self, engines: &[EngineView]) -> Vec<f64> {
        let peer_traits = EngineTraits::median(engines.iter().map(|e| e.traits));
        let home_weights = self.home_weights(engines);
        let cost = |e| self.cost(e, &home_weights, &peer_traits);
        engines.iter().map(cost).collect()
    }

    /// Expected time to the first event, ms, plus the cost that the choice has for other requests.
    /// `peer_traits` replaces the traits of `engine` that are unknown.
    fn cost(self, engine: &EngineView, home_weights: &[u64], peer_traits: &EngineTraits) -> f64 {
        let traits = engine.traits.or(peer_traits);
        let tokens = engine.unread_tokens + u64::from(engine.prompt_tokens);
        let mut cost = approximate(tokens) * 1_000.0 / approximate(traits.tokens_per_s.max(1));
        let prefill_ms =
            f64::from(engine.prompt_tokens) * 1_000.0 / approximate(traits.tokens_per_s.max(1));
        cost += f64::from(engine.running) * (RUNNING_COST_MS + prefill_ms * STREAM_STALL_RATIO);
        cost += approximate(engine.failure_penalty_ms + engine.ready_in_ms);
        if engine.stale {
            cost += STALE_COST_MS;
        }
        if engine.remote {
            cost += REMOTE_COST_MS;
        }
        let store_load_ms = measured_or(traits.store_load_ms, DEFAULT_STORE_LOAD_MS);
        let cached_load_ms = measured_or(
            traits.cached_load_ms,
            store_load_ms * DEFAULT_CACHED_LOAD_RATIO,
        );
        match engine.adapter_state {
            AdapterState::Loaded => cost,
            AdapterState::Loading => cost + store_load_ms * REMAINING_LOAD_RATIO,
            AdapterState::Cached => cost + cached_load_ms + store_load_ms * slot_cost_loads(engine),
            AdapterState::Absent => {
                let rank_cost =
                    approximate(self.home_rank(engine, home_weights)) * HOME_RANK_COST_LOADS;
                cost + store_load_ms
                    * (1.0 + STORE_LOAD_COST_LOADS + rank_cost + slot_cost_loads(engine))
            }
        }
    }

    /// Rendezvous hash weights of the engines that rank first as the adapter's home, highest first.
    fn home_weights(self, engines: &[EngineView]) -> Vec<u64> {
        let mut weights: Vec<u64> = engines.iter().map(|e| self.weight(e.key)).collect();
        weights.sort_unstable_by(|a, b| b.cmp(a));
        weights.truncate(HOME_RANKS);
        weights
    }

    /// Number of engines that rank above `engine` as the adapter's home, up to [`HOME_RANKS`].
    fn home_rank(self, engine: &EngineView, home_weights: &[u64]) -> u64 {
        let own = self.weight(engine.key);
        home_weights.iter().filter(|home| **home > own).count() as u64
    }

    fn weight(self, engine_key: u64) -> u64 {
        xxh3_64_with_seed(&engine_key.to_le_bytes(), self.adapter_key)
    }
}

/// Cost of an adapter slot, in store loads.
fn slot_cost_loads(engine: &EngineView) -> f64 {
    if engine.available_slots == 0 {
        NO_SLOT_COST_LOADS
    } else {
        EVICTION_COST_LOADS
    }
}

/// A measured time, ms, or `default_ms` if it is 0, which means not measured.
fn measured_or(ms: u64, default_ms: f64) -> f64 {
    if ms == 0 { default_ms } else { approximate(ms) }
}

#[allow(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
fn approximate(n: u64) -> f64 {
    n as f64
}
