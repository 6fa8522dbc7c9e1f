//! One request: attempts at sides until one is answered whole, or a truthful fault.
//!
//! `job` is what the caller asked, `history` what became of it so far, `resolve` finds its target in
//! the configuration. `attempt` makes one attempt and reads its frames: `outgoing` is what it sends,
//! `sent` counts it with the router, `prompt` reads what the choice heeds of its prompt. `failure`
//! tells how one failed, `settle` decides what follows,
//! `whole` collects an answer that is not streamed.

mod attempt;
mod exchange;
mod failure;
mod history;
mod job;
mod outgoing;
mod prompt;
mod resolve;
mod sent;
mod settle;
mod whole;

pub(crate) use attempt::{Attempt, BodyPart, ResponseHead, lost_failure};
pub(crate) use exchange::Exchange;
pub(crate) use failure::Failure;
pub(crate) use history::History;
pub(crate) use job::{Job, RequestBody, RetryMode};
pub(crate) use prompt::prompt_affinity;
pub(crate) use resolve::{ResolvedTarget, ServiceRoute, resolve_model, resolve_service};
pub(crate) use whole::{BufferedResponse, response_failure};
