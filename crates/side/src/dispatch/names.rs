//! Indices of adapters and callers, given as they are first seen.

use std::collections::BTreeMap;

use pumicecleat_policy::{CallerIx, LoraIx};
use pumicecleat_types::{CallerId, Lora};

/// Names and their indices.
#[derive(Debug, Default)]
pub(super) struct Names {
    loras: BTreeMap<Lora, LoraIx>,
    by_index: Vec<Lora>,
    callers: BTreeMap<CallerId, CallerIx>,
}

impl Names {
    /// Index of an adapter.
    pub(super) fn lora(&mut self, lora: &Lora) -> LoraIx {
        if let Some(ix) = self.loras.get(lora) {
            return *ix;
        }
        let ix = LoraIx(count(self.by_index.len()));
        self.by_index.push(lora.clone());
        self.loras.insert(lora.clone(), ix);
        ix
    }

    /// Adapter of an index that [`lora`](Self::lora) gave.
    pub(super) fn of(&self, ix: LoraIx) -> &Lora {
        &self.by_index[ix.0 as usize]
    }

    /// Index of a caller.
    pub(super) fn caller(&mut self, caller: &str) -> CallerIx {
        if let Some(ix) = self.callers.get(caller) {
            return *ix;
        }
        let ix = CallerIx(count(self.callers.len()));
        self.callers.insert(caller.into(), ix);
        ix
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
