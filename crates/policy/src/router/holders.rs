//! Index from an adapter to the upstreams that hold it, load it, or were just sent a request for
//! it.

use std::collections::BTreeMap;

use crate::{LoraIx, UpstreamIx};

/// Holders of each adapter in one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    by_lora: BTreeMap<LoraIx, Vec<UpstreamIx>>,
}

impl Holders {
    pub(super) fn insert(&mut self, lora: LoraIx, up: UpstreamIx) {
        let ups = self.by_lora.entry(lora).or_default();
        if let Err(at) = ups.binary_search(&up) {
            ups.insert(at, up);
        }
    }

    pub(super) fn remove(&mut self, lora: LoraIx, up: UpstreamIx) {
        let Some(ups) = self.by_lora.get_mut(&lora) else {
            return;
        };
        if let Ok(at) = ups.binary_search(&up) {
            ups.remove(at);
        }
        if ups.is_empty() {
            self.by_lora.remove(&lora);
        }
    }

    /// Holders of an adapter, in ascending order.
    pub(super) fn of(&self, lora: LoraIx) -> &[UpstreamIx] {
        self.by_lora.get(&lora).map_or(&[], Vec::as_slice)
    }
}
