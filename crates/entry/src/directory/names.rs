//! Indices of names, assigned in the order in which the names are first seen.

use std::collections::BTreeMap;

use pumicecleat_policy::{LoraIx, PoolIx};
use pumicecleat_types::PoolId;

/// Indices of pools and adapters.
#[derive(Debug, Default)]
pub(super) struct Names {
    pools: BTreeMap<PoolId, PoolIx>,
    loras: BTreeMap<LoraName, LoraIx>,
    /// Name of each adapter version, by index.
    loras_by_index: Vec<LoraName>,
}

/// Name of an adapter version on its base model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LoraName {
    pub(super) base: String,
    /// Engine name, `adapter@version`.
    pub(super) engine: String,
}

/// Index of an adapter version, and whether this call assigned it.
pub(super) struct AssignedIndex {
    pub(super) lora: LoraIx,
    pub(super) is_new: bool,
}

impl Names {
    /// Index of a pool, assigned if it has none.
    pub(super) fn pool_index(&mut self, pool: &PoolId) -> PoolIx {
        if let Some(ix) = self.pools.get(pool) {
            return *ix;
        }
        let ix = PoolIx(to_index(self.pools.len()));
        self.pools.insert(pool.clone(), ix);
        ix
    }

    /// Index of an adapter version, assigned if it has none.
    pub(super) fn lora_index(&mut self, base: &str, engine: &str) -> AssignedIndex {
        let name = LoraName {
            base: base.to_owned(),
            engine: engine.to_owned(),
        };
        if let Some(lora) = self.loras.get(&name) {
            let (lora, is_new) = (*lora, false);
            return AssignedIndex { lora, is_new };
        }
        let lora = LoraIx(to_index(self.loras_by_index.len()));
        self.loras_by_index.push(name.clone());
        self.loras.insert(name, lora);
        AssignedIndex { lora, is_new: true }
    }

    /// Engine name of an adapter version.
    pub(super) fn engine_name(&self, lora: LoraIx) -> &str {
        let name = self.loras_by_index.get(lora.0 as usize);
        name.map_or("", |n| n.engine.as_str())
    }

    /// Number of adapter versions seen so far.
    pub(super) fn lora_count(&self) -> usize {
        self.loras_by_index.len()
    }
}

fn to_index(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
