//! The entry's choice of engine: where the first event is expected first.

use pumicecleat_types::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time of a load from the weight store, ms: 250 at the deployments' own pace, half as much again
/// for the way of the order and the reports.
const LOAD: f64 = 300.0;

/// Expected rest of a load under way, ms.
const COMING: f64 = 120.0;

/// Cost of a load that has to push another adapter out, ms: that one is loaded again later.
const EVICT: f64 = 400.0;

/// Cost of an engine without a place to spare, ms: a place frees when a stream ends, which takes
/// half a second to two.
const CROWDED: f64 = 900.0;

/// Cost of each rank behind an adapter's home, ms. Copies of rare adapters stay at one engine, whose
/// host then still has their weights, unless it is behind by four prompts or more:
/// at 120 ms a rank the mean worth of 36 played days was 0.520, at 250 ms 0.534, at 450 ms 0.541, at
/// 800 ms 0.542.
const RANK: f64 = 450.0;

/// Ranks that are told apart.
const RANKS: u8 = 3;

/// Cost of figures that are old, ms: the engine or its side may be gone.
const STALE: f64 = 400.0;

/// Cost of another data centre, ms: two ways of 1.4 ms.
const REMOTE: f64 = 3.0;

/// Cost of each request under way, ms: it lengthens the engine's steps.
const RUNNING: f64 = 1.5;

/// How an engine stands to an adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdapterHold {
    /// Holds it, at a version that will do; or none is needed.
    Held,
    /// Loads it.
    Coming,
    /// Would have to load it.
    #[default]
    Absent,
}

/// What an entry knows of an engine, for one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineView {
    /// Key, the same at every entry.
    pub key: u64,
    /// How it stands to the adapter.
    pub hold: AdapterHold,
    /// Places that a further adapter could take.
    pub spare: u32,
    /// Prompt tokens that wait to be read, own sends counted in.
    pub unread: u64,
    /// Prompt tokens of the request itself.
    pub tokens: u32,
    /// Prompt tokens read in a second.
    pub rate: u64,
    /// Requests under way.
    pub running: u32,
    /// Time until it takes requests, ms.
    pub start: u64,
    /// Figures are too old to rely on.
    pub stale: bool,
    /// In another data centre.
    pub remote: bool,
    /// Time for which recent failures put it behind its peers, ms.
    pub behind: u64,
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
        let costs = engines.iter().map(|e| self.cost(e, engines));
        let indexed = costs.enumerate();
        indexed.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
    }

    /// Expected time to the first event, ms, with what the choice costs others.
    #[must_use]
    pub fn cost(self, engine: &EngineView, all: &[EngineView]) -> f64 {
        let tokens = engine.unread + u64::from(engine.tokens);
        let mut cost = approximate(tokens) * 1_000.0 / approximate(engine.rate.max(1));
        cost += f64::from(engine.running) * RUNNING;
        cost += approximate(engine.behind + engine.start);
        if engine.stale {
            cost += STALE;
        }
        if engine.remote {
            cost += REMOTE;
        }
        match engine.hold {
            AdapterHold::Held => cost,
            AdapterHold::Coming => cost + COMING,
            AdapterHold::Absent => {
                let place = if engine.spare == 0 { CROWDED } else { EVICT };
                let home = f64::from(self.rank(engine, all)) * RANK;
                cost + LOAD + home + place
            }
        }
    }

    /// Engines that come before `engine` as the adapter's home.
    fn rank(self, engine: &EngineView, all: &[EngineView]) -> u8 {
        let own = self.weight(engine.key);
        let before = all.iter().filter(|e| self.weight(e.key) > own).count();
        u8::try_from(before).unwrap_or(u8::MAX).min(RANKS)
    }

    fn weight(self, key: u64) -> u64 {
        xxh3_64_with_seed(&key.to_le_bytes(), self.adapter)
    }
}

impl EngineView {
    /// Expected wait for the tokens that wait to be read.
    #[must_use]
    pub fn wait(&self) -> Millis {
        Millis(self.unread * 1_000 / self.rate.max(1))
    }
}

#[allow(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
fn approximate(n: u64) -> f64 {
    n as f64
}
