//! Processing of one request: attempts are sent to sides until one returns a complete response or
//! no further attempt is allowed.
//!
//! `job` holds the request, `history` the state of its attempts, and `resolve` looks up its target
//! in the configuration. `attempt` sends one attempt and reads its frames: `outgoing` builds the
//! message, `attempt_guard` reports the attempt to the router, and `prompt` computes the prompt's
//! affinity for the choice of upstream. `failure` classifies failed attempts, `retry` decides
//! whether to retry, and `buffered` reads responses that are not streamed.

mod attempt;
mod attempt_guard;
mod buffered;
mod exchange;
mod failure;
mod history;
mod job;
mod outgoing;
mod prompt;
mod resolve;
mod retry;

pub(crate) use attempt::{Attempt, BodyPart, ResponseHead, lost_failure};
pub(crate) use buffered::{BufferedResponse, response_failure};
pub(crate) use exchange::Exchange;
pub(crate) use failure::Failure;
pub(crate) use history::History;
pub(crate) use job::{Job, RequestBody, RetryMode};
pub(crate) use prompt::prompt_affinity;
pub(crate) use resolve::{ResolvedTarget, ServiceRoute, resolve_model, resolve_service};
