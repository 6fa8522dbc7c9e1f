//! Configuration of a deployment: routes, services, client accounts and limits.

use std::collections::BTreeMap;

use pumicecleat_types::{BaseId, ServiceId};

use crate::Accounts;

/// One complete, numbered configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Layout {
    /// Number; later configurations have higher numbers, not always consecutive ones.
    pub number: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Client accounts; `None` if requests need no key.
    pub accounts: Option<Accounts>,
}

/// Maps requests for a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name used in logs.
    pub name: String,
    /// Host that the request must name, compared without regard to case.
    pub host: String,
    /// Prefix of the request path, with a leading and a trailing slash.
    pub path_prefix: String,
    /// Services that the requests are distributed to.
    pub services: Vec<WeightedService>,
    /// Whether requests need no key although there are client accounts.
    pub public: bool,
    /// What may be retried.
    pub retry: RetryMode,
    /// Whether the response is a stream of numbered events.
    pub stream: bool,
    /// Response timeout, ms.
    pub timeout_ms: u64,
    /// Latency objective for the response, or for the first event of a stream, ms.
    pub objective_ms: u64,
    /// Longest pause between two events of a stream that is on time, ms; 0 if none is declared.
    pub pause_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceId,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// What may be retried after a request may already have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryMode {
    /// Nothing.
    #[default]
    Never,
    /// A stream, resumed after its last event.
    Resume,
    /// The whole request.
    Whole,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Maximum number of connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Path of the upstreams' health check, if they have one.
    pub health_path: Option<String>,
    /// Capacity of the service's model engines; `None` for a service without engines.
    pub engine: Option<Engine>,
}

/// Capacity and base models of a service's model engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in one batch.
    pub max_batch_size: u32,
    /// Number of tokens that fit into the KV cache.
    pub kv_capacity_tokens: u64,
    /// Maximum number of loaded adapters.
    pub max_adapters: u32,
    /// Memory for the weights of base models and adapters together, MB.
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
    /// Load time from the weight store, s.
    pub store_load_s: f64,
    /// Load time from the engine's disk, s; if 0, same as from the weight store.
    pub disk_load_s: f64,
    /// Load time from the memory of the engine's host, s; if 0, same as from its disk.
    pub memory_load_s: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, bytes.
    pub max_body_bytes: u64,
    /// Timeout for receiving a request head, ms.
    pub header_timeout_ms: u64,
    /// Timeout for idle connections, ms.
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
    /// Creates a route without services or retries.
    #[must_use]
    pub fn new(name: &str, host: &str, path_prefix: &str) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_owned(),
            path_prefix: path_prefix.to_owned(),
            services: Vec::new(),
            public: false,
            retry: RetryMode::Never,
            stream: false,
            timeout_ms: 30_000,
            objective_ms: 1_000,
            pause_ms: 0,
            priority: 0,
            max_attempts: 1,
        }
    }

    /// Selects a service at random in proportion to the weights; `random` is a uniform random number. Returns
    /// `None` if the sum of the weights is 0.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&ServiceId> {
        let sum: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut at = random.checked_rem(sum)?;
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
    /// Returns the route with the longest matching path prefix among those of the host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let fits =
            |r: &&Route| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.path_prefix);
        let fitting = self.routes.iter().filter(fits);
        fitting.max_by_key(|r| r.path_prefix.len())
    }

    /// Returns the engine capacity of a service.
    #[must_use]
    pub fn engine(&self, service: &ServiceId) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }
}
