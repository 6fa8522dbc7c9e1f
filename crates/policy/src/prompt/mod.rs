//! Scheduling for deployments in which prefill is the bottleneck and engines have few adapter slots.
//!
//! The prefill of one prompt takes an engine as long as dozens of decode steps of a full batch. Load is
//! therefore measured in prompt tokens that wait for prefill, not in requests. Prefill rates and load times
//! are learned from each engine; this module contains no figures of particular engines.
//!
//! The agent of an engine uses [`TurnScheduler`], which manages the adapters of its engine and decides which
//! requests are sent, wait or are refused. [`RelaySelector`] selects the agent that collects the figures of
//! many engines.
//!
//! The gateway uses [`EngineChoice`] and [`TurnSearch`] to decide which engine to ask and where to wait,
//! [`UpstreamStats`] to choose among upstreams without adapters, and [`RepeatLimit`] to limit repeated
//! sends.

mod demand;
mod engine;
mod load_window;
mod loads;
mod orders;
mod pace;
mod places;
mod relay;
mod repeat;
mod search;
mod slots;
mod turns;

pub use engine::{AdapterState, EngineChoice, EngineNeeds, EngineView};
pub use orders::{EngineOrder, OrderOutcome};
pub use relay::{RelayPick, RelaySelector, members_digest};
pub use repeat::{RepeatLimit, RepeatOptions};
pub use search::TurnSearch;
pub use slots::{UpstreamLoad, UpstreamStats};
pub use turns::{
    BaseLoadTimes, BaseLocation, EngineReport, ReportedRun, TurnAction, TurnId, TurnOptions,
    TurnRequest, TurnScheduler,
};
