//! Rate limits that upstreams announce in their responses, and allowances of client accounts.
//!
//! An upstream that needs to limit its load announces the requests per second that it accepts across all
//! gateways. The limit applies from the first response that carries it until a response carries a different
//! one or none. Responses may arrive out of order, so a limit is raised or cleared only by a response whose
//! request was not sent before the limit was last updated. A limit also ends when a later start of its
//! upstream is known or the upstream is removed.

mod allowance;
mod gateway_count;
mod pace;
mod pool_selector;
mod rate_limits;
mod refusals;
mod slot_queue;

pub use allowance::{
    ATTACHED_TTL, AllowanceDecision, AllowancePool, AllowanceTerms, COUNT_TTL, GatewayPeak,
};
pub use gateway_count::GatewayCount;
pub use pace::Slot;
pub use pool_selector::PoolSelector;
pub use rate_limits::{Admission, LimitChange, LimitSource, RateLimits};
pub use slot_queue::{SlotQueue, limit_terms};
