//! The process beside a model engine, the only one that gives it orders.
//!
//! Requests don't pass through it: an entry asks for a turn, and sends the request straight to the
//! engine once it has one. So an agent that dies breaks no answer, and an engine whose agent is down
//! still serves what it holds.
//!
//! [`Agent`] drives [`pumicecleat_policy::TurnScheduler`]: it reads the engine's report, which is fresh and
//! costs nothing on the same VM, tells the decisions what happened, and carries out what they say.
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

mod drive;
mod entries;
mod handler;
mod instance;
mod meters;
mod port;
mod relay;
mod settings;
mod shared;
mod start;
mod trial;

pub use port::{EnginePort, OrderAnswer, PortError};
pub use settings::AgentSettings;
pub use start::{Agent, AgentParts};
