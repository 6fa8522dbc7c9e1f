//! Contents of the latest VM list.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::{VmEntry, VmId, VmRole, VmState};

/// Number of consecutive lists without a VM after which it counts as gone.
const MIN_ABSENT_LISTS: u32 = 2;

/// Contents of the latest VM list.
#[derive(Debug, Default)]
pub(crate) struct ListedVms {
    /// Version of the last list applied.
    version: u64,
    leaving: BTreeSet<VmId>,
    /// Peer address of each entry.
    entries: BTreeMap<VmId, String>,
    /// For the VM of each upstream, the number of consecutive lists without it.
    absent_lists: BTreeMap<VmId, u32>,
}

/// Changes from the previous list.
#[derive(Debug, Default)]
pub(crate) struct ListChange {
    /// VMs that this list is the first to mark as leaving.
    pub(crate) newly_leaving: Vec<VmId>,
    /// VMs of upstreams that are gone.
    pub(crate) gone: Vec<VmId>,
}

impl ListedVms {
    /// Applies a list. One that is older than the last is ignored.
    pub(super) fn apply_list(&mut self, vms: &[VmEntry], version: u64) -> ListChange {
        if version < self.version {
            return ListChange::default();
        }
        self.version = version;
        let leaving: BTreeSet<VmId> = vms_in_state(vms, VmState::Leaving);
        let newly_leaving = leaving.difference(&self.leaving).cloned().collect();
        self.leaving = leaving;
        let entries = vms.iter().filter(|v| v.role == VmRole::Entry);
        self.entries = entries.map(|v| (v.vm.clone(), v.address.clone())).collect();
        ListChange {
            newly_leaving,
            gone: self.remove_absent(vms),
        }
    }

    /// Updates the counts of absences and removes the VMs that are gone.
    fn remove_absent(&mut self, vms: &[VmEntry]) -> Vec<VmId> {
        for count in self.absent_lists.values_mut() {
            *count += 1;
        }
        for vm in vms.iter().filter(|v| v.role == VmRole::Upstream) {
            self.absent_lists.insert(vm.vm.clone(), 0);
        }
        let absent = self
            .absent_lists
            .iter()
            .filter(|(_, count)| **count >= MIN_ABSENT_LISTS);
        let gone: Vec<VmId> = absent.map(|(vm, _)| vm.clone()).collect();
        self.absent_lists
            .retain(|_, count| *count < MIN_ABSENT_LISTS);
        gone
    }

    /// Whether the list marks a VM as leaving.
    pub(super) fn is_leaving(&self, vm: &VmId) -> bool {
        self.leaving.contains(vm)
    }

    pub(super) fn entry_vms(&self) -> BTreeSet<VmId> {
        self.entries.keys().cloned().collect()
    }

    pub(super) fn entry_addresses(&self) -> Vec<String> {
        self.entries.values().cloned().collect()
    }

    /// Number of entries and upstreams listed.
    pub(super) fn vm_count(&self) -> usize {
        self.entries.len() + self.absent_lists.len()
    }
}

fn vms_in_state(vms: &[VmEntry], state: VmState) -> BTreeSet<VmId> {
    let found = vms.iter().filter(|v| v.state == state);
    found.map(|v| v.vm.clone()).collect()
}
