//! Entries known to this side, from its settings and from the platform's VM list.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::{Peers, VmList, Vms};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{VmRole, VmState};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::state::{State, Upstream};

/// Shortest interval between two reads of the VM list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between two reads. A side reads the list to learn of added and removed entries.
/// That its own VM is leaving is also seen by entries, which read the list more often.
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(15);
/// Listed VMs for each second of the interval between reads; with more, all sides together would
/// overload the list service.
const VMS_PER_SECOND: usize = 100;
/// Number of consecutive lists that must lack an entry before it is dropped, as the list lags.
const DROP_AFTER_ABSENCES: u32 = 3;

/// Entries by address.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    /// Entries from the settings.
    configured: BTreeSet<String>,
    /// Entries from the VM list, each with the number of consecutive lists that lacked it.
    listed: RefCell<BTreeMap<String, u32>>,
    /// Rotation of the order in which entries are asked next.
    rotation: Cell<usize>,
    /// Entries that did not answer their last request.
    unresponsive: RefCell<BTreeSet<String>>,
}

impl Entries {
    /// Entries from the settings. Sides start at different entries, depending on `seed`.
    pub(crate) fn new(configured: &[SocketAddr], seed: &str) -> Self {
        let rotation = usize::try_from(xxh3_64(seed.as_bytes())).unwrap_or(0);
        Self {
            configured: configured.iter().map(SocketAddr::to_string).collect(),
            rotation: Cell::new(rotation),
            ..Self::default()
        }
    }

    /// Addresses, sorted.
    pub(crate) fn all(&self) -> BTreeSet<String> {
        let listed = self.listed.borrow();
        self.configured
            .iter()
            .chain(listed.keys())
            .cloned()
            .collect()
    }

    /// Records whether an entry answered.
    pub(crate) fn record_reply(&self, entry: &str, answered: bool) {
        let mut unresponsive = self.unresponsive.borrow_mut();
        if answered {
            unresponsive.remove(entry);
        } else if !unresponsive.contains(entry) {
            unresponsive.insert(entry.to_owned());
        }
    }

    /// Addresses in round-robin order; entries that did not answer their last request come last.
    pub(crate) fn rotated(&self) -> Vec<String> {
        let mut all: Vec<String> = self.all().into_iter().collect();
        if !all.is_empty() {
            let rotation = self.rotation.get();
            self.rotation.set(rotation.wrapping_add(1));
            let first = rotation % all.len();
            all.rotate_left(first);
        }
        let unresponsive = self.unresponsive.borrow();
        // The sort is stable, so the order within each group is kept.
        all.sort_by_key(|e| unresponsive.contains(e));
        all
    }

    /// Addresses by rendezvous hash for `subject`, highest rank first.
    pub(crate) fn ranked(&self, subject: &str) -> Vec<String> {
        let seed = xxh3_64(subject.as_bytes());
        let mut all: Vec<String> = self.all().into_iter().collect();
        all.sort_by_cached_key(|e| xxh3_64_with_seed(e.as_bytes(), seed));
        all
    }

    fn apply_list(&self, list: &VmList) {
        let mut listed = self.listed.borrow_mut();
        for absences in listed.values_mut() {
            *absences += 1;
        }
        for vm in list.vms.iter().filter(|v| v.role == VmRole::Entry) {
            listed.insert(vm.address.clone(), 0);
        }
        listed.retain(|_, absences| *absences < DROP_AFTER_ABSENCES);
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|e| self.configured.contains(e) || listed.contains_key(e));
    }
}

fn list_interval(listed: usize) -> Duration {
    let factor = u32::try_from(listed / VMS_PER_SECOND).unwrap_or(u32::MAX);
    MIN_LIST_INTERVAL
        .saturating_mul(factor.max(1))
        .min(MAX_LIST_INTERVAL)
}

impl State {
    /// Reads the VM list periodically; never returns.
    pub(crate) async fn watch_vms(self: Rc<Self>, vms: Rc<dyn Vms>) {
        let region = self.settings.common.region.clone();
        let mut up = true;
        let mut listed = 0;
        loop {
            match vms.list(Some(region.as_str())).await {
                Ok(list) => {
                    up = true;
                    listed = list.vms.len();
                    self.entries.apply_list(&list);
                    self.check_own_vm(&list);
                    self.set_log_share(&list);
                }
                Err(e) if up => {
                    up = false;
                    let address = Peers::new(&self.settings.vms);
                    let fields = [
                        field("address", &address),
                        field("step", "list"),
                        field("error", &e),
                    ];
                    self.log.emit(&events::VM_LIST_DOWN, &fields);
                }
                Err(_) => {}
            }
            self.timer.sleep(list_interval(listed)).await;
        }
    }

    /// Tells the keys how many sides share the service's limit on log appends.
    fn set_log_share(&self, list: &VmList) {
        if let Some(Upstream::Service(_, keys)) = self.backend().map(|b| b.upstream) {
            let sides = list
                .vms
                .iter()
                .filter(|v| v.pool.as_ref() == Some(self.pool()));
            keys.set_sides(u32::try_from(sides.count()).unwrap_or(u32::MAX));
        }
    }

    fn check_own_vm(&self, list: &VmList) {
        let own = list.vms.iter().find(|v| v.vm == *self.vm());
        if own.is_some_and(|v| v.state == VmState::Leaving) {
            self.leave("VM list");
        }
    }
}
