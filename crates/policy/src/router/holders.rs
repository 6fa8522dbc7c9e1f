//! Index from adapter to the upstreams that hold it, load it, or were just sent a request for it.

use std::collections::BTreeMap;

use crate::{LoraIx, UpstreamIx};

/// Holders in one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    map: BTreeMap<LoraIx, Vec<UpstreamIx>>,
}

impl Holders {
    pub(super) fn insert(&mut self, lora: LoraIx, up: UpstreamIx) {
        let ups = self.map.entry(lora).or_default();
        if let Err(at) = ups.binary_search(&up) {
            ups.insert(at, up);
        }
    }

    pub(super) fn remove(&mut self, lora: LoraIx, up: UpstreamIx) {
        let Some(ups) = self.map.get_mut(&lora) else {
            return;
        };
        if let Ok(at) = ups.binary_search(&up) {
            ups.remove(at);
        }
        if ups.is_empty() {
            self.map.remove(&lora);
        }
    }

    /// Holders, ascending.
    pub(super) fn of(&self, lora: LoraIx) -> &[UpstreamIx] {
        self.map.get(&lora).map_or(&[], Vec::as_slice)
    }
}
