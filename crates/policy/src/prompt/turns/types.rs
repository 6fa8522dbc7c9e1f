//! Inputs and outputs of turn scheduling.

use pumicecleat_types::{Millis, TurnRefusal};

use crate::prompt::orders::EngineOrder;

/// Id of a request that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TurnId(pub u64);

/// A request for a turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TurnRequest {
    /// Id of the request.
    pub request_id: String,
    /// Adapter, if the request uses one.
    pub adapter: Option<String>,
    /// Oldest sufficient version of the adapter.
    pub min_version: u64,
    /// Prompt tokens that will probably need prefill.
    pub prompt_tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Target time to the first event, counted from the arrival at the gateway.
    pub objective: Millis,
    /// Remaining part of the objective.
    pub objective_left: Millis,
    /// Time after which the caller gives up.
    pub patience: Millis,
    /// Whether the request waits for an adapter slot. Otherwise it is refused immediately if none is
    /// available.
    pub waits_for_slot: bool,
    /// Longest pause between two events that is on time; 0 if none is declared.
    pub pause: Millis,
    /// Client account, if engines are shared fairly between accounts.
    pub account: Option<String>,
}

/// Options of [`TurnScheduler`](super::TurnScheduler).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TurnOptions {
    /// Number of adapter slots.
    pub adapter_slots: u32,
    /// Maximum number of requests in a batch.
    pub max_batch: u32,
    /// Load times of the base model.
    pub base_load_times: BaseLoadTimes,
    /// Smallest number of concurrent loads from the weight store; below 1, loads are spaced in time. `None` for the
    /// number at which engines start.
    pub min_loads: Option<f64>,
    /// Part of a stream's longest pause after which further prompts are held back; 0 for never.
    pub pause_guard: f64,
    /// Whether accounts share the engine fairly when not all requests can be in time.
    pub account_shares: bool,
}

/// Load times of the base model, by the location of its weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BaseLoadTimes {
    /// From host memory.
    pub memory: Millis,
    /// From the disk of the host.
    pub disk: Millis,
    /// From the weight store.
    pub store: Millis,
}

/// Nearest location of the weights of a base model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BaseLocation {
    /// Host memory.
    Memory,
    /// Disk of the host.
    Disk,
    /// Only the weight store.
    #[default]
    Store,
}

/// Report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Number of orders accepted since the engine started.
    pub sequence: u64,
    /// Unix time of the engine's start, ms, if reported.
    pub start_time_ms: Option<u64>,
    /// The base model is loaded.
    pub base_loaded: bool,
    /// Location of the base model's weights.
    pub base_location: BaseLocation,
    /// The engine accepts no more requests.
    pub leaving: bool,
    /// An order that allows no other is being carried out.
    pub busy: bool,
    /// Loaded adapters with their versions.
    pub loaded_adapters: Vec<(String, u64)>,
    /// Adapters being loaded, with their versions.
    pub loading_adapters: Vec<(String, u64)>,
    /// Requests that the engine is processing.
    pub runs: Vec<ReportedRun>,
    /// Number of requests queued in the engine.
    pub queued: u32,
    /// Number of requests in the batch.
    pub active: u32,
}

/// A request in the report of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRun {
    /// Id of the request.
    pub request_id: String,
    /// Number of events produced so far.
    pub events: u64,
}

/// An action for the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnAction {
    /// Allow a request to be sent.
    Grant {
        /// Request.
        turn: TurnId,
        /// Loaded version of the adapter.
        version: Option<u64>,
    },
    /// Refuse a request.
    Refuse {
        /// Request.
        turn: TurnId,
        /// Reason.
        reason: TurnRefusal,
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
    /// Send an order to the engine.
    Order {
        /// Order.
        order: EngineOrder,
        /// Sequence that the engine must be at.
        sequence: u64,
    },
}
