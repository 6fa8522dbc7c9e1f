//! Small stand-ins for the platform and the upstreams, with faults on request.
//!
//! Each serves the HTTP form of `docs/PLATFORM.md` on loopback, in its own process or on the loop
//! of the program that starts it. `POST /faults` sets its faults and `GET /faults` shows them.
//!
//! ```
//! use pumicecleat_net::{Timer, run};
//! use pumicecleat_standin::{Engine, EngineOptions};
//!
//! let port = run(async {
//!     let timer = Timer::start();
//!     let engine = Engine::start(EngineOptions::default(), &timer).unwrap();
//!     engine.address.port()
//! });
//! assert_ne!(port.unwrap(), 0);
//! ```

mod engine;
mod log;
mod serve;
mod service;
mod store;
mod vms;

pub use engine::{
    ChatMessage, Engine, EngineCounters, EngineEffects, EngineFaults, EngineOptions, OrderEffect,
    OrderKind, RunEffect, RunState, expected_tokens,
};
pub use log::{Log, LogFaults, LogOptions};
pub use serve::{Running, StandinError};
pub use service::{Service, ServiceEffect, ServiceFaults, ServiceOptions};
pub use store::{Store, StoreFaults, StoreOptions};
pub use vms::{VmFaults, VmList, VmListOptions};

/// Address on loopback with a port that the system chooses.
pub const ANY_PORT: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
