//! Orders to an engine and their outcomes.

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load the base model.
    LoadBase,
    /// Load an adapter, or replace it by this version.
    Load {
        /// Adapter.
        adapter: String,
        /// Version; `None` for the newest.
        version: Option<u64>,
    },
    /// Unload an adapter.
    Unload {
        /// Adapter.
        adapter: String,
    },
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is being carried out.
    Accepted,
    /// The order is complete, or the requested state already held.
    Done,
    /// The engine is at another sequence, or busy; nothing was done.
    Conflict,
    /// The engine rejected the order; nothing was done.
    Refused,
    /// The engine is not the instance that the order named; nothing was done.
    Misdirected,
    /// No answer: the order may be carried out, now or later.
    Unknown,
}
