//! Model of the configuration that operators declare.

mod adapter;
mod caller;
mod item;
mod pool;
mod service;
mod tuning;
mod versions;

use std::collections::BTreeMap;

use pumicecleat_types::{AdapterId, BaseId, CallerId, PoolId, ServiceId};
use serde::{Deserialize, Serialize};

pub use adapter::{Adapter, BaseModel, Version};
pub use caller::{Caller, Grant};
pub use item::{Item, ItemKey};
pub use pool::{Pool, PoolKind};
pub use service::{IdempotencyKeyRule, Route, Service};
pub use tuning::{Limits, Tuning};
pub use versions::Versions;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Base models.
    pub bases: BTreeMap<BaseId, BaseModel>,
    /// Adapters.
    pub adapters: BTreeMap<AdapterId, Adapter>,
    /// Callers.
    pub callers: BTreeMap<CallerId, Caller>,
    /// Pools of upstreams.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Plain services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Weights of the objectives.
    pub tuning: Tuning,
    /// Request limits.
    pub limits: Limits,
}
