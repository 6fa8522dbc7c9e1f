//! The decisions: choice of upstream, residency, load order, queueing and shares.
//!
//! Pure, synchronous code: time and randomness are passed in. The daemons and the measurements
//! drive the same code. A side drives a [`Scheduler`]; the entry that keeps the order of loads from
//! a weight store drives a [`LoadOrder`].
//!
//! ```
//! use pumicecleat_policy::{
//!     Action, CallerIx, Job, JobId, LoadEnd, LoraIx, Scheduler, SchedulerOptions,
//! };
//! use pumicecleat_types::{LoadTurn, Millis};
//!
//! let mut side = Scheduler::new_ext(SchedulerOptions::default());
//! let lora = LoraIx(7);
//! let job = Job {
//!     id: JobId(1),
//!     lora: Some(lora),
//!     caller: CallerIx(0),
//!     claim: 1,
//!     priority: 0,
//!     deadline: Millis(20_000),
//!     arrived: Millis(0),
//!     tokens: 100,
//! };
//! side.submit(job, Millis(0)).unwrap();
//! assert!(matches!(side.poll(Millis(0))[..], [Action::Bid(_)]));
//!
//! side.turn(LoadTurn::Go { ttl_ms: 2_000 }, Millis(4));
//! assert_eq!(side.poll(Millis(4)), [Action::Load(lora)]);
//!
//! side.loaded(lora, LoadEnd::Done, Millis(504));
//! let orders = side.poll(Millis(504));
//! assert_eq!(orders, [Action::Send(JobId(1)), Action::GiveBack]);
//! ```

mod index;
mod limits;
mod load_order;
mod prompt;
mod router;
mod scheduler;
mod suspects;

pub use index::{CallerIx, LoraIx, PoolIx, UpstreamIx};
pub use limits::{Admission, LimitChange, LimitSource, RateLimits, Slot};
pub use load_order::{LoadOrder, LoadOrderOptions};
pub use prompt::{
    AdapterState, BaseLoadTimes, BaseLocation, EngineChoice, EngineOrder, EngineReport, EngineView,
    OrderOutcome, RelayPick, RelaySelector, RepeatOptions, RepeatWindow, ReportedRun, TurnAction,
    TurnId, TurnOptions, TurnRequest, TurnScheduler, TurnSearch, UpstreamLoad, UpstreamStats,
    members_digest,
};
pub use router::{
    Ask, BudgetOptions, Choice, Outcome, Pick, Prompt, RetryBudget, Router, RouterOptions,
    UpstreamFigures, lora_key, name_key, part_key, upstream_key,
};
pub use scheduler::{
    Action, Bid, GiveUp, Job, JobId, LoadEnd, Scheduler, SchedulerOptions, Weights,
};
pub use suspects::{CallNews, SuspectLinks, Suspects, TRIED_FROM, Trials, end_key};
