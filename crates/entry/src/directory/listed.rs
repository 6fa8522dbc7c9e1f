//! What the VM list said last.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::{VmEntry, VmId, VmRole, VmState};

/// Lists in a row that must lack a VM before it counts as gone.
const AGREE: u32 = 2;

/// What the VM list said last.
#[derive(Debug, Default)]
pub(crate) struct Listed {
    /// Version of the last list taken.
    version: u64,
    leaving: BTreeSet<VmId>,
    /// Peer addresses of entries.
    entries: BTreeMap<VmId, String>,
    /// Upstreams' VMs, with the lists in a row that lacked each.
    upstreams: BTreeMap<VmId, u32>,
}

/// What a list changed.
#[derive(Debug, Default)]
pub(crate) struct Change {
    /// VMs that leave since this list.
    pub(crate) leaving: Vec<VmId>,
    /// VMs that are gone.
    pub(crate) gone: Vec<VmId>,
}

impl Listed {
    /// Takes a list in; one older than the last changes nothing.
    pub(super) fn take(&mut self, vms: &[VmEntry], version: u64) -> Change {
        if version < self.version {
            return Change::default();
        }
        self.version = version;
        let leaving: BTreeSet<VmId> = of_state(vms, VmState::Leaving);
        let fresh = leaving.difference(&self.leaving).cloned().collect();
        self.leaving = leaving;
        let entries = vms.iter().filter(|v| v.role == VmRole::Entry);
        self.entries = entries.map(|v| (v.vm.clone(), v.address.clone())).collect();
        Change {
            leaving: fresh,
            gone: self.count_absent(vms),
        }
    }

    fn count_absent(&mut self, vms: &[VmEntry]) -> Vec<VmId> {
        for count in self.upstreams.values_mut() {
            *count += 1;
        }
        for vm in vms.iter().filter(|v| v.role == VmRole::Upstream) {
            self.upstreams.insert(vm.vm.clone(), 0);
        }
        let absent = self.upstreams.iter().filter(|(_, count)| **count >= AGREE);
        let gone: Vec<VmId> = absent.map(|(vm, _)| vm.clone()).collect();
        self.upstreams.retain(|_, count| *count < AGREE);
        gone
    }

    /// Whether the list names a VM as leaving.
    pub(super) fn is_leaving(&self, vm: &VmId) -> bool {
        self.leaving.contains(vm)
    }

    /// Entries' VMs.
    pub(super) fn entries(&self) -> BTreeSet<VmId> {
        self.entries.keys().cloned().collect()
    }

    /// Entries' peer addresses.
    pub(super) fn addresses(&self) -> Vec<String> {
        self.entries.values().cloned().collect()
    }

    /// VMs listed.
    pub(super) fn len(&self) -> usize {
        self.entries.len() + self.upstreams.len()
    }
}

fn of_state(vms: &[VmEntry], state: VmState) -> BTreeSet<VmId> {
    let found = vms.iter().filter(|v| v.state == state);
    found.map(|v| v.vm.clone()).collect()
}
