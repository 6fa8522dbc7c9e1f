//! Names and their indices, given as they are first seen.

use std::collections::BTreeMap;

use pumicecleat_policy::{LoraIx, PoolIx};
use pumicecleat_types::PoolId;

/// Indices of pools and adapters.
#[derive(Debug, Default)]
pub(super) struct Names {
    pools: BTreeMap<PoolId, PoolIx>,
    /// By base model and engine name.
    loras: BTreeMap<LoraName, LoraIx>,
    by_index: Vec<LoraName>,
}

/// Base model and engine name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LoraName {
    /// Base model.
    pub(super) base: String,
    /// Engine name, `adapter@version`.
    pub(super) engine: String,
}

/// Index of an adapter, and whether it was given just now.
pub(super) struct Given {
    pub(super) lora: LoraIx,
    pub(super) fresh: bool,
}

impl Names {
    /// Index of a pool.
    pub(super) fn pool(&mut self, pool: &PoolId) -> PoolIx {
        if let Some(ix) = self.pools.get(pool) {
            return *ix;
        }
        let ix = PoolIx(count(self.pools.len()));
        self.pools.insert(pool.clone(), ix);
        ix
    }

    /// Index of an adapter's version.
    pub(super) fn lora(&mut self, base: &str, engine: &str) -> Given {
        let name = LoraName {
            base: base.to_owned(),
            engine: engine.to_owned(),
        };
        if let Some(lora) = self.loras.get(&name) {
            let (lora, fresh) = (*lora, false);
            return Given { lora, fresh };
        }
        let lora = LoraIx(count(self.by_index.len()));
        self.by_index.push(name.clone());
        self.loras.insert(name, lora);
        Given { lora, fresh: true }
    }

    /// Engine name of an index given here.
    pub(super) fn engine(&self, lora: LoraIx) -> &str {
        let name = self.by_index.get(lora.0 as usize);
        name.map_or("", |n| n.engine.as_str())
    }

    /// Adapters' versions seen so far.
    pub(super) fn loras(&self) -> usize {
        self.by_index.len()
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
