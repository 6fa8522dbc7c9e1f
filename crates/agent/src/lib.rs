//! Agent that runs beside a model engine and is the only process that sends orders to it.
//!
//! Requests do not pass through the agent: a gateway asks it for a turn and sends the request directly to
//! the engine once the turn is granted. If an agent fails, responses in progress are not interrupted, and
//! the engine still serves the models and adapters that it has loaded.
//!
//! [`Agent`] runs the scheduler, [`pumicecleat_policy::TurnScheduler`]: it fetches the engine's report, which is
//! current and cheap to get on the same VM, passes events to the scheduler and carries out its actions.
//!
//! ```
//! use pumicecleat_agent::AgentSettings;
//! use pumicecleat_ops::Settings;
//! use std::collections::BTreeMap;
//!
//! let args = [
//!     "--vm", "vm-1", "--data-centre", "bp-a", "--region", "hu", "--service", "chat",
//!     "--engine", "127.0.0.1:8000", "--store", "127.0.0.1:9000",
//! ];
//! let settings = AgentSettings::read("agent", &args, &BTreeMap::new()).unwrap();
//! assert_eq!(settings.service.as_str(), "chat");
//! ```

mod accounts;
mod confirm;
mod drive;
mod engine_client;
mod gateways;
mod handler;
mod instance;
mod meters;
mod relay;
mod settings;
mod shared;
mod start;
mod trial;

pub use engine_client::{EngineClient, OrderResponse, ReportError};
pub use settings::AgentSettings;
pub use start::{Agent, AgentContext};
