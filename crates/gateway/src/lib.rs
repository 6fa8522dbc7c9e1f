//! The process that meets callers of a deployment.
//!
//! A request is opaque: method, path, body and headers go to an upstream unchanged, and so does its
//! answer. What the gateway needs to know of it stands in its head, and is read by a [`HeaderCodec`].
//!
//! - `request` takes one request from its route to its answer: `plain` for services with slots,
//!   `model` for engines, `send` for one attempt, `relay` for an answer on its way back.
//! - `table` keeps what is believed of each upstream, and how old that is; `side` asks the agents
//!   beside engines for turns.
//! - `suspects` keeps requests under which upstreams end from ending more of them.
//!
//! A refusal tells that the request has not run and won't: it is given only before the first send,
//! or after the upstream itself said that it did not run.
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
//! assert_eq!(settings.repeat_percent, 20);
//! ```

mod gate;
mod gateways;
mod headers;
mod leave;
mod meters;
mod own_word;
mod peers;
mod request;
mod settings;
mod shared;
mod side;
mod start;
mod suspects;
mod table;
mod view;

pub use headers::{
    AttemptAttributes, HeaderCodec, ModelName, PromptPart, RateLimit, ReportedLoad,
    RequestAttributes, ResponseAttributes, RetryAfter,
};
pub use leave::LeaveBudget;
pub use settings::GatewaySettings;
pub use start::{Gateway, GatewayParts};
