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
        /// Parts that the idempotency keys are split into, each with a stream of its own; fixed
        /// for as long as the pool is declared.
        // Left out where it is the default, so that digests are those of before it came.
        #[serde(default = "one_part", skip_serializing_if = "is_one_part")]
        parts: u32,
    },
}

impl Pool {
    /// Parts of its keys; one for a pool of engines, which has no keys.
    #[must_use]
    pub fn parts(&self) -> u32 {
        match self.kind {
            PoolKind::Model { .. } => 1,
            PoolKind::Service { parts, .. } => parts,
        }
    }

    /// Whether a pool that stands may become `new`: keys are never dealt out anew, as that would
    /// forget them.
    pub(crate) fn may_become(&self, new: &Self) -> bool {
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
    reason = "the form that serde calls"
)]
fn is_one_part(parts: &u32) -> bool {
    *parts == 1
}
