//! Entries that this side knows: from its settings, and from the platform's VM list.

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

/// Shortest time between two reads of the VM list.
const PAUSE: Duration = Duration::from_secs(1);
/// Longest one. A side needs the list for entries that come and go; that its own VM leaves is seen
/// by entries too, which read the list more often.
const LONGEST: Duration = Duration::from_secs(15);
/// VMs that a read each second may list; with more, all sides together would overrun the list.
const VMS_A_SECOND: usize = 100;
/// Lists in a row that must lack an entry before it is forgotten, as the list lags.
const ABSENCES: u32 = 3;

/// Entries by address.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    fixed: BTreeSet<String>,
    /// Lists in a row that lacked it.
    listed: RefCell<BTreeMap<String, u32>>,
    turn: Cell<usize>,
    /// Those that did not answer last.
    silent: RefCell<BTreeSet<String>>,
}

impl Entries {
    /// Entries known from the start; sides ask them from different ones on, by `seed`.
    pub(crate) fn new(fixed: &[SocketAddr], seed: &str) -> Self {
        let turn = usize::try_from(xxh3_64(seed.as_bytes())).unwrap_or(0);
        Self {
            fixed: fixed.iter().map(SocketAddr::to_string).collect(),
            turn: Cell::new(turn),
            ..Self::default()
        }
    }

    /// Addresses, in order.
    pub(crate) fn all(&self) -> BTreeSet<String> {
        let listed = self.listed.borrow();
        self.fixed.iter().chain(listed.keys()).cloned().collect()
    }

    /// Notes whether an entry answered.
    pub(crate) fn record_reply(&self, entry: &str, answered: bool) {
        let mut silent = self.silent.borrow_mut();
        if answered {
            silent.remove(entry);
        } else if !silent.contains(entry) {
            silent.insert(entry.to_owned());
        }
    }

    /// Addresses, from another one on each time; those that did not answer last come last.
    pub(crate) fn rotated(&self) -> Vec<String> {
        let mut all: Vec<String> = self.all().into_iter().collect();
        if !all.is_empty() {
            let turn = self.turn.get();
            self.turn.set(turn.wrapping_add(1));
            let middle = turn % all.len();
            all.rotate_left(middle);
        }
        let silent = self.silent.borrow();
        // Stable: the others keep their order.
        all.sort_by_key(|e| silent.contains(e));
        all
    }

    /// Addresses by rendezvous rank for `subject`, the first one best.
    pub(crate) fn ranked(&self, subject: &str) -> Vec<String> {
        let seed = xxh3_64(subject.as_bytes());
        let mut all: Vec<String> = self.all().into_iter().collect();
        all.sort_by_cached_key(|e| xxh3_64_with_seed(e.as_bytes(), seed));
        all
    }

    fn take(&self, list: &VmList) {
        let mut listed = self.listed.borrow_mut();
        for absences in listed.values_mut() {
            *absences += 1;
        }
        for vm in list.vms.iter().filter(|v| v.role == VmRole::Entry) {
            listed.insert(vm.address.clone(), 0);
        }
        listed.retain(|_, absences| *absences < ABSENCES);
        let mut silent = self.silent.borrow_mut();
        silent.retain(|e| self.fixed.contains(e) || listed.contains_key(e));
    }
}

fn pace(listed: usize) -> Duration {
    let factor = u32::try_from(listed / VMS_A_SECOND).unwrap_or(u32::MAX);
    PAUSE.saturating_mul(factor.max(1)).min(LONGEST)
}

impl State {
    /// Reads the VM list again and again; never ends.
    pub(crate) async fn watch_vms(self: Rc<Self>, vms: Rc<dyn Vms>) {
        let region = self.settings.common.region.clone();
        let mut up = true;
        let mut listed = 0;
        loop {
            match vms.list(Some(region.as_str())).await {
                Ok(list) => {
                    up = true;
                    listed = list.vms.len();
                    self.entries.take(&list);
                    self.look_for_own(&list);
                    self.share_log(&list);
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
            self.timer.sleep(pace(listed)).await;
        }
    }

    /// The sides of one service share what the log takes of appends.
    fn share_log(&self, list: &VmList) {
        if let Some(Upstream::Service(_, keys)) = self.backend().map(|w| w.upstream) {
            let sides = list
                .vms
                .iter()
                .filter(|v| v.pool.as_ref() == Some(self.pool()));
            keys.set_sides(u32::try_from(sides.count()).unwrap_or(u32::MAX));
        }
    }

    fn look_for_own(&self, list: &VmList) {
        let own = list.vms.iter().find(|v| v.vm == *self.vm());
        if own.is_some_and(|v| v.state == VmState::Leaving) {
            self.leave("VM list");
        }
    }
}
