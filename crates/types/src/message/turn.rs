//! Requests of entries for turns at an engine, and the replies of the side that runs beside the engine.

use serde::{Deserialize, Serialize};

use super::{SuspectNews, Trial};
use crate::{Position, VmId};

/// Call of an entry to a side: the progress of earlier requests, and optionally a request that asks for a
/// turn.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnCall {
    /// VM of the entry.
    pub entry: VmId,
    /// Instance that the entry expects at the side, and to which the ask applies.
    pub instance: String,
    /// Progress of requests that were granted a turn.
    pub news: Vec<RunNews>,
    /// Latest positions of the platform's streams that the entry knows.
    pub marks: StreamMarks,
    /// Digest of the cached adapters that the entry knows; 0 if it knows none.
    #[serde(rename = "kept")]
    pub cached_digest: u64,
    /// Median traits of the engines of the same service, as far as the entry knows them.
    #[serde(rename = "peers")]
    pub peer_traits: EngineTraits,
    /// Changes of the suspects; if absent, the reply has none either.
    pub suspects: Option<SuspectNews>,
    /// Rate limit of the engine; `None` if the entry has no recent information on one.
    pub limit: Option<LimitNews>,
    /// Request for a turn; without one the side replies at once.
    pub ask: Option<TurnAsk>,
}

/// Request for a turn at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnAsk {
    /// Id of the request.
    pub request: String,
    /// Base model.
    pub base: String,
    /// Adapter, if the request uses one.
    pub adapter: Option<String>,
    /// Minimum version of the adapter.
    #[serde(rename = "version")]
    pub min_version: u64,
    /// Number of prompt tokens that the engine probably has to process.
    #[serde(rename = "tokens")]
    pub prompt_tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Objective for the time from the arrival at the entry to the first event, ms.
    pub objective_ms: u64,
    /// Time left of the objective, ms.
    #[serde(rename = "due_ms")]
    pub objective_left_ms: u64,
    /// Time for which the caller still waits for the first event, ms.
    pub patience_ms: u64,
    /// Kind of the trial in which the request is sent, if it is a suspect.
    pub trial: Option<Trial>,
    /// Whether the request waits for an adapter slot; if not, it is refused at once when none is free.
    #[serde(rename = "stays")]
    pub waits_for_slot: bool,
    /// Longest pause between two events of the stream that is on time, ms; 0 if none is declared.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub pause_ms: u64,
    /// Client account, if engines are shared fairly between accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Rate limit of an engine, from the latest response that the entry received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Requests per 1,000 seconds; `None` if the limit has ended.
    pub rate: Option<u64>,
    /// Time since that response, ms.
    pub age_ms: u64,
}

/// Progress of a request that was granted a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunNews {
    /// Id of the request.
    pub request: String,
    /// Whether the request has ended; if not, its response has started.
    pub ended: bool,
}

/// Reply of a side to a [`TurnCall`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnReply {
    /// Outcome of the ask, if the call had one.
    pub turn: Option<Turn>,
    /// State of the engine, as known to the side.
    pub figures: EngineFigures,
    /// Adapters that the engine's host caches, if their digest differs from that in the call.
    #[serde(rename = "kept")]
    pub cached_adapters: Option<CachedAdapters>,
    /// Number of entries that the side has recently been in contact with or heard of.
    pub entries: u32,
    /// Latest positions of the platform's streams that the side knows.
    pub marks: StreamMarks,
    /// Changes of the suspects, if the call had any.
    pub suspects: Option<SuspectNews>,
}

/// For each stream, the position after the last record that changed the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamMarks {
    /// Stream of the operators' records.
    pub operators: Position,
    /// Stream of the list of upstreams.
    pub upstreams: Position,
    /// Latest read of the list to its end by any process.
    pub listed: Option<EndRead>,
}

/// A read of a stream to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRead {
    /// End of the stream; every process that passes on this read names the same position.
    pub end: Position,
    /// Time since the read, ms.
    pub age_ms: u64,
}

/// Adapters that an engine's host caches in memory besides those loaded in the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedAdapters {
    /// Digest of the names.
    pub digest: u64,
    /// Names, most recent first.
    pub names: Vec<String>,
}

/// Outcome of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turn {
    /// The request may be sent now.
    #[serde(rename = "Go")]
    Granted {
        /// Version of the adapter that is loaded in the engine.
        version: Option<u64>,
    },
    /// The request gets no turn at this engine.
    #[serde(rename = "No")]
    Refused {
        /// Reason.
        reason: TurnRefusal,
        /// Time after which to retry, ms.
        retry_ms: u64,
    },
}

/// Reason why a request gets no turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TurnRefusal {
    /// The engine is another instance, has not loaded the base model, or does not respond.
    NoEngine,
    /// The engine is leaving.
    Leaving,
    /// The first event of its response would come too late.
    #[serde(rename = "Late")]
    TooLate,
    /// The adapter can't be loaded in time.
    #[serde(rename = "NoPlace")]
    NoSlot,
    /// Other suspects are on trial at the engine.
    OnTrial,
    /// The engine's rate limit doesn't admit the request in time.
    Limited,
}

/// State of an engine, as known to its side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFigures {
    /// Instance; empty while unknown.
    pub instance: String,
    /// Unix time of the engine's start, ms; 0 if the engine does not report it.
    #[serde(rename = "born")]
    pub start_time_ms: u64,
    /// Time until the engine accepts requests, ms; 0 if it does now, `None` if it won't or if unknown.
    pub ready_ms: Option<u64>,
    /// Loaded adapters and their versions.
    #[serde(rename = "held")]
    pub loaded_adapters: Vec<(String, u64)>,
    /// Adapters that are being loaded.
    #[serde(rename = "loading")]
    pub loading_adapters: Vec<String>,
    /// Number of slots into which another adapter could be loaded now.
    #[serde(rename = "spare")]
    pub available_slots: u32,
    /// Number of prompt tokens that the engine has yet to process.
    #[serde(rename = "unread")]
    pub unread_tokens: u64,
    /// Number of requests in progress.
    pub running: u32,
    /// Measured speed of the engine.
    pub traits: EngineTraits,
}

/// Measured speed of an engine; 0 in a field means unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Prompt tokens processed per second.
    #[serde(rename = "rate")]
    pub tokens_per_s: u64,
    /// Time to load an adapter from the weight store, ms.
    #[serde(rename = "load_ms")]
    pub store_load_ms: u64,
    /// Time to load an adapter from the host's memory, ms.
    #[serde(rename = "kept_ms")]
    pub cached_load_ms: u64,
    /// Number of adapters that the host caches besides those loaded in the engine.
    #[serde(rename = "keeps")]
    pub cache_size: u32,
}

impl EngineTraits {
    /// Returns these traits, with the unknown ones taken from `peers`.
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

    /// Returns the median of each trait over the engines where it is known.
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

/// Median of the known values; 0 if none is known.
fn median_known(figures: impl Iterator<Item = u64>) -> u64 {
    let mut known: Vec<u64> = figures.filter(|f| *f > 0).collect();
    known.sort_unstable();
    known.get(known.len() / 2).copied().unwrap_or_default()
}

impl TurnRefusal {
    /// Returns the name in logs and metrics.
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
