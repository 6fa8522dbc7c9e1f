//! What the decisions are told, and what they say.

use pumicecleat_types::{Millis, TurnRefusal};

use crate::prompt::places::EngineOrder;

/// Number of a request that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TurnId(pub u64);

/// A request that wants its turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnRequest {
    /// Request's id.
    pub request_id: String,
    /// Adapter, if it wants one.
    pub adapter: Option<String>,
    /// Oldest version that will do.
    pub min_version: u64,
    /// Prompt tokens that are likely to be read.
    pub prompt_tokens: u32,
    /// Rank, 0 before all others.
    pub priority: u8,
    /// Time within which its first event is wanted, from its arrival at the entry.
    pub objective: Millis,
    /// What is left of that.
    pub objective_left: Millis,
    /// Time after which its caller is gone.
    pub patience: Millis,
    /// Waits for a place for its adapter; otherwise it is refused at once where none is free.
    pub waits_for_slot: bool,
}

/// Options of [`TurnScheduler`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnOptions {
    /// Places for adapters.
    pub adapter_slots: u32,
    /// Requests in one batch.
    pub max_batch: u32,
    /// Times of a load of the base model, by where its weights are.
    pub base_load_times: BaseLoadTimes,
}

/// Times of a load of the base model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BaseLoadTimes {
    /// From the host's memory.
    pub memory: Millis,
    /// From the host's disk.
    pub disk: Millis,
    /// From the weight store.
    pub store: Millis,
}

/// Where an engine finds the weights of its base model nearest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BaseLocation {
    /// In its host's memory.
    Memory,
    /// On its host's disk.
    Disk,
    /// In the weight store alone.
    #[default]
    Store,
}

/// What the engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Unix time of its start, ms, if it tells.
    pub start_time_ms: Option<u64>,
    /// Base model is loaded.
    pub base_loaded: bool,
    /// Where its weights are.
    pub base_location: BaseLocation,
    /// Takes no requests any more.
    pub leaving: bool,
    /// An order is being carried out that allows no other.
    pub busy: bool,
    /// Adapters held, with versions.
    pub adapters: Vec<(String, u64)>,
    /// Adapters on their way, with versions.
    pub loading_adapters: Vec<(String, u64)>,
    /// Requests under way.
    pub runs: Vec<ReportedRun>,
    /// Requests that wait in the engine.
    pub queued: u32,
    /// Requests in the batch.
    pub active: u32,
}

/// A request that the engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRun {
    /// Request's id.
    pub request_id: String,
    /// Events made.
    pub events: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnAction {
    /// The request may be sent.
    Grant {
        /// Whose turn it is.
        turn: TurnId,
        /// Version of the adapter that is held.
        version: Option<u64>,
    },
    /// The request gets no turn here.
    Refuse {
        /// Whose.
        turn: TurnId,
        /// Why.
        reason: TurnRefusal,
        /// When to come back.
        retry_after: Millis,
    },
    /// The engine is to be given an order, at this sequence.
    Order {
        /// Order.
        order: EngineOrder,
        /// Sequence that the engine must be at.
        sequence: u64,
    },
}
