//! Turns at an engine: what an entry asks of the side beside it, and what the side tells.

use serde::{Deserialize, Serialize};

use super::{SuspectNews, Trial};
use crate::{Position, VmId};

/// Exchange of an entry with a side: what became of requests, and perhaps one more that asks for its
/// turn.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnCall {
    /// VM of the entry.
    pub entry: VmId,
    /// Instance that the entry believes to be there, and that an ask is for.
    pub instance: String,
    /// Progress of requests that had their turn.
    pub news: Vec<RunNews>,
    /// How far the entry knows the platform's streams to reach.
    pub marks: StreamMarks,
    /// Digest of the kept adapters that the entry knows; 0 before the first.
    #[serde(rename = "kept")]
    pub cached_digest: u64,
    /// How fast the engine's peers work, where the entry knows it.
    pub peers: EngineTraits,
    /// Requests under which upstreams ended; none are told either way without it.
    pub suspects: Option<SuspectNews>,
    /// Rate limit of the engine as the entry knows it; `None` if the entry has no recent news of one.
    pub limit: Option<LimitNews>,
    /// Request that wants its turn; without one the answer comes at once.
    pub ask: Option<TurnAsk>,
}

/// A request that wants its turn at the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnAsk {
    /// Request's id.
    pub request: String,
    /// Base model.
    pub base: String,
    /// Adapter, if it wants one.
    pub adapter: Option<String>,
    /// Oldest version of the adapter that will do.
    pub version: u64,
    /// Prompt tokens that are likely to be read.
    pub tokens: u32,
    /// Rank, 0 before all others.
    pub priority: u8,
    /// Time within which its first event is wanted, from its arrival at the entry, ms.
    pub objective_ms: u64,
    /// What is left of that, ms.
    pub due_ms: u64,
    /// Time after which its caller is gone, ms.
    pub patience_ms: u64,
    /// How it may be sent, if it needs permission.
    pub trial: Option<Trial>,
    /// Waits for a place for its adapter; otherwise it is refused at once where none is free.
    pub stays: bool,
}

/// Rate limit of an engine, from the latest response that an entry received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Requests per 1,000 seconds; `None` if the limit has ended.
    pub rate: Option<u64>,
    /// Time since that response, ms.
    pub age_ms: u64,
}

/// What became of a request that had its turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunNews {
    /// Request's id.
    pub request: String,
    /// Whether it has ended; otherwise its answer has begun.
    pub ended: bool,
}

/// What a side answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnReply {
    /// Outcome of the ask, if there was one.
    pub turn: Option<Turn>,
    /// The engine, as the side knows it.
    pub figures: EngineFigures,
    /// Adapters that the engine's host keeps, if they aren't those that the entry knows.
    #[serde(rename = "kept")]
    pub cached_adapters: Option<CachedAdapters>,
    /// Entries that the side heard of lately.
    pub entries: u32,
    /// How far the side knows the platform's streams to reach.
    pub marks: StreamMarks,
    /// Requests under which upstreams ended, if the call told of any news.
    pub suspects: Option<SuspectNews>,
}

/// Places behind the last records that changed something, by stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamMarks {
    /// Operators' records.
    pub operators: Position,
    /// List of upstreams.
    pub upstreams: Position,
    /// Latest read of the list to its end by anybody.
    pub listed: Option<ListRead>,
}

/// A read of the list to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRead {
    /// Its end: all who tell of the read name the same.
    pub end: Position,
    /// Time since, ms.
    pub age_ms: u64,
}

/// Adapters that an engine's host keeps in memory beside those held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedAdapters {
    /// Digest of the names.
    pub digest: u64,
    /// Names, latest first.
    pub names: Vec<String>,
}

/// Outcome of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turn {
    /// It may be sent now.
    #[serde(rename = "Go")]
    Granted {
        /// Version of the adapter that the engine holds.
        version: Option<u64>,
    },
    /// It won't have a turn here.
    #[serde(rename = "No")]
    Refused {
        /// Why.
        reason: TurnRefusal,
        /// When to come back, ms.
        retry_ms: u64,
    },
}

/// Why a request has no turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TurnRefusal {
    /// The engine is another instance, has no base model, or does not answer.
    NoEngine,
    /// The engine is leaving.
    Leaving,
    /// Its first event would come too late.
    #[serde(rename = "Late")]
    TooLate,
    /// The adapter could not be loaded in time.
    #[serde(rename = "NoPlace")]
    NoSlot,
    /// Other requests are on trial there.
    OnTrial,
    /// No slot under the engine's rate limit is free in time.
    Limited,
}

/// An engine, as its side knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFigures {
    /// Instance; empty while the engine is not known.
    pub instance: String,
    /// Unix time of the engine's start, ms; 0 if it does not tell.
    #[serde(rename = "born")]
    pub start_time_ms: u64,
    /// Time until it takes requests, ms: 0 if it does; `None` if it won't, or nobody knows.
    pub ready_ms: Option<u64>,
    /// Adapters held, with their versions.
    #[serde(rename = "held")]
    pub loaded_adapters: Vec<(String, u64)>,
    /// Adapters on their way.
    #[serde(rename = "loading")]
    pub loading_adapters: Vec<String>,
    /// Places that a further adapter could take now.
    #[serde(rename = "spare")]
    pub available_slots: u32,
    /// Prompt tokens that wait to be read.
    #[serde(rename = "unread")]
    pub unread_tokens: u64,
    /// Requests under way.
    pub running: u32,
    /// How fast it works, as far as its side has learned.
    pub traits: EngineTraits,
}

/// How fast an engine works, as learned from it; 0 stands for what is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Prompt tokens read in a second.
    #[serde(rename = "rate")]
    pub tokens_per_s: u64,
    /// Time of a load of an adapter from the weight store, ms.
    #[serde(rename = "load_ms")]
    pub store_load_ms: u64,
    /// Time of a load of an adapter from the host's memory, ms.
    #[serde(rename = "kept_ms")]
    pub cached_load_ms: u64,
    /// Adapters that the host keeps beside those held.
    #[serde(rename = "keeps")]
    pub cache_size: u32,
}

impl EngineTraits {
    /// These, and those of `peers` for what is not known.
    #[must_use]
    pub fn or(self, peers: &Self) -> Self {
        let known = |own: u64, peers: u64| if own == 0 { peers } else { own };
        Self {
            tokens_per_s: known(self.tokens_per_s, peers.tokens_per_s),
            store_load_ms: known(self.store_load_ms, peers.store_load_ms),
            cached_load_ms: known(self.cached_load_ms, peers.cached_load_ms),
            cache_size: if self.cache_size == 0 {
                peers.cache_size
            } else {
                self.cache_size
            },
        }
    }

    /// Middle of each figure over the engines where it is known.
    #[must_use]
    pub fn median(all: impl Iterator<Item = Self> + Clone) -> Self {
        let cache_size = median_known(all.clone().map(|t| u64::from(t.cache_size)));
        Self {
            tokens_per_s: median_known(all.clone().map(|t| t.tokens_per_s)),
            store_load_ms: median_known(all.clone().map(|t| t.store_load_ms)),
            cached_load_ms: median_known(all.map(|t| t.cached_load_ms)),
            cache_size: u32::try_from(cache_size).unwrap_or(u32::MAX),
        }
    }
}

/// Median of the figures that are known; 0 if none is.
fn median_known(figures: impl Iterator<Item = u64>) -> u64 {
    let mut known: Vec<u64> = figures.filter(|f| *f > 0).collect();
    known.sort_unstable();
    known.get(known.len() / 2).copied().unwrap_or_default()
}

impl TurnRefusal {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoEngine => "no_engine",
            Self::Leaving => "leaving",
            Self::TooLate => "late",
            Self::NoSlot => "no_place",
            Self::OnTrial => "on_trial",
            Self::Limited => "limited",
        }
    }
}
