//! Versions of the list, each shown once its lag is over.

use std::collections::{BTreeMap, VecDeque};

use pumicecleat_types::{Millis, VmEntry, VmId};

/// VMs by id.
pub(crate) type Vms = BTreeMap<VmId, VmEntry>;

/// A version of the list.
#[derive(Clone, Default)]
pub(crate) struct Version {
    /// Number, rising by one a change.
    pub(crate) number: u64,
    /// VMs.
    pub(crate) vms: Vms,
    shown: Millis,
}

/// Version shown and those still to be.
#[derive(Default)]
pub(crate) struct History {
    seen: Version,
    coming: VecDeque<Version>,
}

impl History {
    /// History that shows `vms` at once.
    pub(crate) fn new(vms: Vms) -> Self {
        let mut history = Self::default();
        history.seen.vms = vms;
        history
    }

    /// Changes the newest version, to be shown at `shown`.
    pub(crate) fn change(&mut self, shown: Millis, edit: impl FnOnce(&mut Vms)) {
        let newest = self.coming.back().unwrap_or(&self.seen);
        let mut version = newest.clone();
        version.number += 1;
        version.shown = shown;
        edit(&mut version.vms);
        self.coming.push_back(version);
    }

    /// Version shown at `now`.
    pub(crate) fn at(&mut self, now: Millis) -> &Version {
        while let Some(version) = self.coming.pop_front_if(|v| v.shown <= now) {
            self.seen = version;
        }
        &self.seen
    }
}
