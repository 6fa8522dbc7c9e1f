//! Gateway process: receives requests of callers and forwards them to the upstreams of a deployment.
//!
//! The gateway treats a request as opaque: it forwards method, path, body and headers unchanged, and the
//! response likewise. What it needs to know of a request is in the headers, and is decoded by a
//! [`HeaderCodec`].
//!
//! - `request` handles one request from routing to response: `plain` for services with slots, `model` for
//!   model engines, `send` for one attempt, `forward` for the response.
//! - `table` holds the state of each upstream and its age; `agents` requests turns from the agents beside
//!   engines.
//! - `suspects` limits how many upstreams a request can crash.
//!
//! A refusal states that the request was not executed and will not be. It is therefore sent only before the
//! first attempt, or after the upstream reported that it did not execute the request.
//!
//! ```
//! use pumicecleat_gateway::GatewaySettings;
//! use pumicecleat_ops::Settings;
//! use std::collections::BTreeMap;
//!
//! let args = [
//!     "--vm", "vm-1", "--data-centre", "bp-a", "--region", "hu", "--store", "127.0.0.1:9000",
//! ];
//! let settings = GatewaySettings::read("gateway", &args, &BTreeMap::new()).unwrap();
//! assert_eq!(settings.gateways, 8);
//! ```

mod agents;
mod allowance;
mod candidates;
mod exceeded;
mod headers;
mod limit_pool;
mod meters;
mod origins;
mod readiness;
mod repeats;
mod request;
mod revoke;
mod self_reports;
mod service_traits;
mod settings;
mod shared;
mod software;
mod start;
mod stop;
mod suspects;
mod table;
mod view;

pub use headers::{
    AttemptAttributes, CallerName, Credentials, Execution, HeaderCodec, ModelName, Priority,
    PromptPart, RateLimit, ReportedLoad, RequestAttributes, ResponseAttributes, Resumption,
    RetryAfter, Unattributed,
};
pub use revoke::RevokeBudget;
pub use settings::GatewaySettings;
pub use start::{Gateway, GatewayParts};
