//! The entry's choice of engine: where the first event is expected first.

use pumicecleat_types::EngineTraits;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time of a load from the weight store before any was measured, ms. The first requests measure it;
/// until then it only has to be told from nothing.
const LOAD: f64 = 100.0;

/// Part of a load from the store that one from the host's memory takes, before any was measured.
const KEPT: f64 = 0.2;

/// Cost of a load from the weight store beside its time, in such loads: its pace is shared by all
/// engines, and what one host more keeps pushes another adapter out there. Knowing what hosts keep, in
/// place of homes by rank alone, took loads from the store down by 4 in 100 over 60 played days; a third
/// and twice as much made no difference that could be told from chance.
const FETCH: f64 = 1.0;

/// Expected rest of a load under way, in whole ones.
const COMING: f64 = 0.4;

/// Cost of a load that has to push another adapter out, in loads from the store: that one is loaded
/// again later.
const EVICT: f64 = 1.3;

/// Cost of an engine without a place to spare, in loads from the store: a place frees when a stream
/// ends, which takes longer than any load.
const CROWDED: f64 = 3.0;

/// Cost of each rank behind an adapter's home, in loads from the store, where no host keeps it: entries
/// that ask at the same time then agree on one. A sixth, a half and one made no
/// difference that could be told from chance over 60 played days.
const RANK: f64 = 0.5;

/// Ranks that are told apart.
const RANKS: usize = 3;

/// Cost of figures that are old, ms: the engine or its side may be gone.
const STALE: f64 = 400.0;

/// Cost of another data centre, ms: two ways of 1.4 ms.
const REMOTE: f64 = 3.0;

/// Cost of each request under way, ms: it lengthens the engine's steps.
const RUNNING: f64 = 1.5;

/// Part of a prompt's reading that each stream beside it counts for. While a prompt is read the streams
/// beside it stand almost still, and hold their adapters' places all the while; so prompts go where few
/// streams run, and engines take to one or the other by themselves. Of long prompts beside long answers
/// 0.921 had their first event in time, and 0.908 without it (`prompt_load`).
const BESIDE: f64 = 0.15;

/// How an engine stands to an adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdapterState {
    /// Holds it, at a version that will do; or none is needed.
    Loaded,
    /// Loads it.
    Loading,
    /// Its host keeps it in memory.
    Cached,
    /// Would have to load it from the weight store.
    #[default]
    Absent,
}

impl AdapterState {
    /// Its name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Loaded => "held",
            Self::Loading => "coming",
            Self::Cached => "kept",
            Self::Absent => "absent",
        }
    }

    /// Whether the adapter has to be given a place.
    #[must_use]
    pub fn needs_slot(self) -> bool {
        matches!(self, Self::Cached | Self::Absent)
    }
}

/// What an entry knows of an engine, for one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineView {
    /// Key, the same at every entry.
    pub key: u64,
    /// How it stands to the adapter.
    pub adapter_state: AdapterState,
    /// Places that a further adapter could take.
    pub available_slots: u32,
    /// Prompt tokens that wait to be read, own sends counted in.
    pub unread_tokens: u64,
    /// Prompt tokens of the request itself.
    pub prompt_tokens: u32,
    /// How fast it works, as far as is known.
    pub traits: EngineTraits,
    /// Requests under way.
    pub running: u32,
    /// Time until it takes requests, ms.
    pub ready_in_ms: u64,
    /// Figures are too old to rely on.
    pub stale: bool,
    /// In another data centre.
    pub remote: bool,
    /// Time for which recent failures put it behind its peers, ms.
    pub failure_penalty_ms: u64,
}

/// Choice of engine for requests for one adapter.
#[derive(Clone, Copy, Debug)]
pub struct EngineChoice {
    adapter: u64,
}

impl EngineChoice {
    /// Choice for an adapter by its key, the same at every entry.
    #[must_use]
    pub fn new(adapter: u64) -> Self {
        Self { adapter }
    }

    /// Index of the engine where the first event is expected first.
    #[must_use]
    pub fn pick(self, engines: &[EngineView]) -> Option<usize> {
        let peers = EngineTraits::middle(engines.iter().map(|e| e.traits));
        let homes = self.homes(engines);
        let costs = engines.iter().map(|e| self.cost(e, &homes, &peers));
        let indexed = costs.enumerate();
        indexed.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
    }

    /// Expected time to the first event, ms, with what the choice costs others; `peers` stands for
    /// what is not known of `engine`.
    fn cost(self, engine: &EngineView, homes: &[u64], peers: &EngineTraits) -> f64 {
        let traits = engine.traits.or(peers);
        let tokens = engine.unread_tokens + u64::from(engine.prompt_tokens);
        let mut cost = approximate(tokens) * 1_000.0 / approximate(traits.rate.max(1));
        let own = f64::from(engine.prompt_tokens) * 1_000.0 / approximate(traits.rate.max(1));
        cost += f64::from(engine.running) * (RUNNING + own * BESIDE);
        cost += approximate(engine.failure_penalty_ms + engine.ready_in_ms);
        if engine.stale {
            cost += STALE;
        }
        if engine.remote {
            cost += REMOTE;
        }
        let load = measured(traits.load_ms, LOAD);
        let kept = measured(traits.kept_ms, load * KEPT);
        match engine.adapter_state {
            AdapterState::Loaded => cost,
            AdapterState::Loading => cost + load * COMING,
            AdapterState::Cached => cost + kept + load * place(engine),
            AdapterState::Absent => {
                let home = approximate(self.rank(engine, homes)) * RANK;
                cost + load * (1.0 + FETCH + home + place(engine))
            }
        }
    }

    /// Weights of the engines that come first as the adapter's home.
    fn homes(self, engines: &[EngineView]) -> Vec<u64> {
        let mut homes: Vec<u64> = engines.iter().map(|e| self.weight(e.key)).collect();
        homes.sort_unstable_by(|a, b| b.cmp(a));
        homes.truncate(RANKS);
        homes
    }

    /// Engines that come before `engine` as the adapter's home, as far as they are told apart.
    fn rank(self, engine: &EngineView, homes: &[u64]) -> u64 {
        let own = self.weight(engine.key);
        homes.iter().filter(|home| **home > own).count() as u64
    }

    fn weight(self, key: u64) -> u64 {
        xxh3_64_with_seed(&key.to_le_bytes(), self.adapter)
    }
}

/// Cost of a place for one more adapter, in loads from the store.
fn place(engine: &EngineView) -> f64 {
    if engine.available_slots == 0 {
        CROWDED
    } else {
        EVICT
    }
}

/// A measured time, ms; `unknown` before it was measured.
fn measured(ms: u64, unknown: f64) -> f64 {
    if ms == 0 { unknown } else { approximate(ms) }
}

#[allow(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
fn approximate(n: u64) -> f64 {
    n as f64
}
