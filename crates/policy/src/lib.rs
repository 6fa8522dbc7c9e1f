//! Decision logic: choice of upstream, adapter residency, load order, queueing and shares.
//!
//! The code is synchronous and performs no I/O; time and randomness are passed in. The daemons and the measurements
//! use the same code. A side runs a [`Scheduler`]; the entry that orders the loads from a weight store runs a
//! [`LoadOrder`].
//!
//! ```
//! use pumicecleat_policy::{
//!     Action, CallerIx, Job, JobId, LoadOutcome, LoraIx, Scheduler, SchedulerOptions,
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
//! side.bid_answered(LoadTurn::Granted { ttl_ms: 2_000 }, Millis(4));
//! assert_eq!(side.poll(Millis(4)), [Action::Load(lora)]);
//!
//! side.loaded(lora, LoadOutcome::Done, Millis(504));
//! let actions = side.poll(Millis(504));
//! assert_eq!(actions, [Action::Send(JobId(1)), Action::ReleaseTurn]);
//! ```

mod index;
mod limits;
mod load_order;
mod origins;
mod prompt;
mod response_times;
mod router;
mod scheduler;
mod shares;
mod suspects;

pub use index::{CallerIx, LoraIx, PoolIx, UpstreamIx};
pub use limits::{
    ATTACHED_TTL, Admission, AllowanceDecision, AllowancePool, AllowanceTerms, COUNT_TTL,
    GatewayCount, GatewayPeak, LimitChange, LimitSource, PoolSelector, RateLimits, Slot, SlotQueue,
    limit_terms,
};
pub use load_order::{LoadOrder, LoadOrderOptions};
pub use origins::{COPIES, LOOKUPS, OriginTable, keepers, keepers_of};
pub use prompt::{
    AdapterState, BaseLoadTimes, BaseLocation, EngineChoice, EngineNeeds, EngineOrder,
    EngineReport, EngineView, OrderOutcome, RelayPick, RelaySelector, RepeatLimit, RepeatOptions,
    ReportedRun, TurnAction, TurnId, TurnOptions, TurnRequest, TurnScheduler, TurnSearch,
    UpstreamLoad, UpstreamStats, members_digest,
};
pub use response_times::ResponseTimes;
pub use router::{
    AttemptOutcome, PromptAffinity, RetryBudget, RetryBudgetOptions, RouteDecision, RouteQuery,
    Router, RouterOptions, SelectedUpstream, UpstreamStatus, lora_key, name_key, part_key,
    upstream_key,
};
pub use scheduler::{
    Action, Bid, Job, JobId, JobRefusal, LoadOutcome, ObjectiveWeights, Scheduler, SchedulerOptions,
};
pub use shares::AccountShares;
pub use suspects::{
    LostAttempt, OutgoingNews, PROVING_TIME, SeveralSuspects, SuspectSync, SuspectTable, Trials,
    end_key, min_ends,
};
