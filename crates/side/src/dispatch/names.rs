//! Indices of adapters and callers, assigned in the order in which they are first seen.

use std::collections::BTreeMap;

use pumicecleat_policy::{CallerIx, LoraIx};
use pumicecleat_types::{CallerId, Lora};

/// Maps adapters and callers to the scheduler's indices.
#[derive(Debug, Default)]
pub(super) struct Names {
    lora_indices: BTreeMap<Lora, LoraIx>,
    loras_by_index: Vec<Lora>,
    caller_indices: BTreeMap<CallerId, CallerIx>,
}

impl Names {
    /// Index of an adapter, assigned if it is new.
    pub(super) fn lora_index(&mut self, lora: &Lora) -> LoraIx {
        if let Some(ix) = self.lora_indices.get(lora) {
            return *ix;
        }
        let ix = LoraIx(to_u32(self.loras_by_index.len()));
        self.loras_by_index.push(lora.clone());
        self.lora_indices.insert(lora.clone(), ix);
        ix
    }

    /// Adapter of an index assigned by [`lora_index`](Self::lora_index).
    pub(super) fn lora(&self, ix: LoraIx) -> &Lora {
        &self.loras_by_index[ix.0 as usize]
    }

    /// Index of a caller, assigned if it is new.
    pub(super) fn caller_index(&mut self, caller: &str) -> CallerIx {
        if let Some(ix) = self.caller_indices.get(caller) {
            return *ix;
        }
        let ix = CallerIx(to_u32(self.caller_indices.len()));
        self.caller_indices.insert(caller.into(), ix);
        ix
    }
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
