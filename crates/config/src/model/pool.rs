//! Pools: upstreams of one kind, each with a side.

use pumicecleat_types::BaseId;
use serde::{Deserialize, Serialize};

/// Pool of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Kind.
    pub kind: PoolKind,
    /// Requests waiting at one side at most.
    pub queue: u32,
}

/// Kind of the upstreams of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolKind {
    /// Model engines.
    Model {
        /// Base model they hold.
        base: BaseId,
        /// Adapter slots of one engine.
        slots: u32,
        /// Requests one engine batches at most.
        batch: u32,
        /// Engines refuse orders with an old fencing number.
        fencing: bool,
    },
    /// Plain services.
    Service {
        /// Calls one upstream takes at once.
        concurrency: u32,
    },
}
