//! Pools of upstreams of one kind; each upstream has a side.

use pumicecleat_types::BaseId;
use serde::{Deserialize, Serialize};

/// Pool of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Kind.
    pub kind: PoolKind,
    /// Maximum number of requests waiting at one side.
    pub queue: u32,
}

/// Kind of the upstreams of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolKind {
    /// Model engines.
    Model {
        /// Base model they serve.
        base: BaseId,
        /// Adapter slots per engine.
        slots: u32,
        /// Maximum batch size of one engine.
        batch: u32,
        /// Whether engines refuse orders with an outdated fencing number.
        fencing: bool,
    },
    /// Plain services.
    Service {
        /// Maximum number of concurrent calls per upstream.
        concurrency: u32,
        /// Parts that the idempotency keys are split into, each with a stream of its own; fixed
        /// for as long as the pool is declared.
        // Omitted if it is the default, so that digests are the same as before this field existed.
        #[serde(default = "one_part", skip_serializing_if = "is_one_part")]
        parts: u32,
    },
}

impl Pool {
    /// Number of parts of its keys; 1 for a pool of engines, which has no keys.
    #[must_use]
    pub fn parts(&self) -> u32 {
        match self.kind {
            PoolKind::Model { .. } => 1,
            PoolKind::Service { parts, .. } => parts,
        }
    }

    /// Whether an existing pool may be replaced by `new`. The number of parts is fixed, as
    /// redistributing the keys would lose those in use.
    pub(crate) fn can_become(&self, new: &Self) -> bool {
        match (&self.kind, &new.kind) {
            (PoolKind::Service { parts, .. }, PoolKind::Service { parts: next, .. }) => {
                parts == next
            }
            _ => true,
        }
    }
}

fn one_part() -> u32 {
    1
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature required by serde"
)]
fn is_one_part(parts: &u32) -> bool {
    *parts == 1
}
