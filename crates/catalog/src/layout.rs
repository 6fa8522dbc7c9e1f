//! A whole configuration: routes, services and limits.

use std::collections::BTreeMap;

use pumicecleat_types::{BaseId, ServiceId};

/// A whole configuration under its number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Layout {
    /// Number; a later configuration has a higher one, not always the next.
    pub number: u64,
    /// Routes, in no order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits on what a caller may send.
    pub limits: Limits,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Services by weight.
    pub services: Vec<WeightedService>,
    /// What may be sent again.
    pub retry: RetryMode,
    /// Answer is a stream of numbered events.
    pub stream: bool,
    /// Longest wait for an answer, ms.
    pub timeout_ms: u64,
    /// Time within which an answer is wanted, ms; of a stream its first event.
    pub objective_ms: u64,
    /// Rank, 0 before all others.
    pub priority: u8,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
}

/// Part of a route's requests that a service gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceId,
    /// Weight against the other parts.
    pub weight: u32,
}

/// What may be sent again after it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryMode {
    /// Nothing.
    #[default]
    Never,
    /// A stream, from its last event on.
    Resume,
    /// The whole request.
    Whole,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one upstream takes from all callers together.
    pub max_connections: u32,
    /// Model engine's figures; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// Figures of a service's model engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub max_batch_size: u32,
    /// Tokens that fit into memory.
    pub kv_capacity_tokens: u64,
    /// Adapters that fit.
    pub max_adapters: u32,
    /// Space for weights, base models and adapters together, MB.
    pub weight_memory_mb: f64,
    /// Base models.
    pub base_models: Vec<BaseModel>,
}

/// A base model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BaseModel {
    /// Name.
    pub name: BaseId,
    /// Size of its weights, MB.
    pub weights_mb: f64,
    /// Size of one of its adapters, MB.
    pub adapter_size_mb: f64,
    /// Time of a load from the weight store, s.
    pub store_load_s: f64,
    /// Time of a load from the engine's disk, s; as from the store, if 0.
    pub disk_load_s: f64,
    /// Time of a load from the memory of the engine's host, s; as from its disk, if 0.
    pub memory_load_s: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head, bytes.
    pub max_header_bytes: usize,
    /// Longest body, bytes.
    pub max_body_bytes: u64,
    /// Time for a head to arrive, ms.
    pub header_timeout_ms: u64,
    /// Time that a connection may stay idle, ms.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Route {
    /// Route without services, which repeats nothing.
    #[must_use]
    pub fn new(name: &str, host: &str, path_prefix: &str) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_owned(),
            path_prefix: path_prefix.to_owned(),
            services: Vec::new(),
            retry: RetryMode::Never,
            stream: false,
            timeout_ms: 30_000,
            objective_ms: 1_000,
            priority: 0,
            max_attempts: 1,
        }
    }

    /// Service for a request; `roll` is a random number.
    #[must_use]
    pub fn pick_service(&self, roll: u64) -> Option<&ServiceId> {
        let sum: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut at = roll.checked_rem(sum)?;
        for candidate in &self.services {
            let weight = u64::from(candidate.weight);
            if at < weight {
                return Some(&candidate.service);
            }
            at -= weight;
        }
        None
    }
}

impl Layout {
    /// Route of a request: of those of its host, the one with the longest prefix of the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let fits =
            |r: &&Route| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.path_prefix);
        let fitting = self.routes.iter().filter(fits);
        fitting.max_by_key(|r| r.path_prefix.len())
    }

    /// Engine figures of a service.
    #[must_use]
    pub fn engine(&self, service: &ServiceId) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }
}
