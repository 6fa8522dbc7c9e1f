//! Decisions where reading prompts is the scarce work and adapters have few places.
//!
//! Reading one prompt takes an engine as long as dozens of steps of a full batch. Load is therefore
//! counted in prompt tokens that wait to be read, never in requests. How fast an engine reads and loads
//! is learned from it alone; no figure of any engine stands here.
//!
//! [`TurnScheduler`] is the side's part: which adapters its engine holds, whose turn it is, who is refused.
//! [`RelaySelector`] says who gathers the figures of many engines.
//!
//! [`EngineChoice`] and [`TurnSearch`] are the entry's: which engine to ask, and where to wait. [`UpstreamStats`] places plain requests, and
//! [`RepeatWindow`] bounds what is sent more than once.

mod demand;
mod engine;
mod loads;
mod pace;
mod places;
mod relay;
mod repeat;
mod search;
mod slots;
mod turns;

pub use engine::{AdapterState, EngineChoice, EngineView};
pub use places::{EngineOrder, OrderOutcome};
pub use relay::{RelayPick, RelaySelector, members_digest};
pub use repeat::{RepeatOptions, RepeatWindow};
pub use search::TurnSearch;
pub use slots::{UpstreamLoad, UpstreamStats};
pub use turns::{
    BaseLoadTimes, BaseLocation, EngineReport, ReportedRun, TurnAction, TurnId, TurnOptions,
    TurnRequest, TurnScheduler,
};
