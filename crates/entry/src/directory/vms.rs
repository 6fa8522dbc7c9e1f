//! Polls the VM list.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::{VmList, Vms};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, VmId};

use super::Directory;
use super::listed::ListChange;
use crate::shared::Shared;

const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum list length for a read every second. Longer lists are read less often.
const MAX_VMS_PER_S: usize = 256;

const MAX_READ_INTERVAL: Duration = Duration::from_secs(3);

/// Polls the list until the process ends.
pub(crate) async fn follow_vms(shared: Rc<Shared>, vms: Rc<dyn Vms>) {
    let mut down_since = None;
    loop {
        let region = shared.options.region.as_str().to_owned();
        match vms.list(Some(&region)).await {
            Ok(list) => {
                clear_outage(&shared, &mut down_since);
                apply_list(&shared, &list);
            }
            Err(e) => record_outage(&shared, &mut down_since, &e.to_string()),
        }
        let listed = shared.directory.borrow().listed_count();
        shared.timer.sleep(read_interval(listed)).await;
    }
}

fn read_interval(listed: usize) -> Duration {
    let factor = u32::try_from(listed / MAX_VMS_PER_S).unwrap_or(u32::MAX);
    MIN_READ_INTERVAL
        .saturating_mul(factor.max(1))
        .min(MAX_READ_INTERVAL)
}

fn apply_list(shared: &Shared, list: &VmList) {
    let change = shared.directory.borrow_mut().apply_list(list);
    for vm in &change.newly_leaving {
        let source = field("source", "VM list");
        let known = shared.directory.borrow().has_side(vm);
        if known {
            let fields = [field("upstream", vm), source];
            shared.log.emit(&events::SIDE_LEAVING, &fields);
        } else {
            let fields = [field("vm", vm)];
            shared.log.emit(&events::VM_LISTED_LEAVING, &fields);
        }
        if *vm == shared.options.vm {
            shared.leaving.set(true);
            shared.stop.request_once();
        }
    }
    for up in &change.gone {
        shared.load_order.borrow_mut().remove_side(*up);
    }
}

fn record_outage(shared: &Shared, down_since: &mut Option<Millis>, error: &str) {
    if down_since.is_some() {
        return;
    }
    *down_since = Some(shared.timer.now());
    let address = field("address", shared.options.vm_list_addresses.as_str());
    let fields = [address, field("step", "list"), field("error", error)];
    shared.log.emit(&events::VM_LIST_DOWN, &fields);
}

fn clear_outage(shared: &Shared, down_since: &mut Option<Millis>) {
    let Some(since) = down_since.take() else {
        return;
    };
    let down_ms = shared.timer.now().since(since).0;
    let address = field("address", shared.options.vm_list_addresses.as_str());
    let fields = [address, field("down_ms", down_ms)];
    shared.log.emit(&events::VM_LIST_UP, &fields);
}

/// Changes that a list made to the known sides.
struct SideChange {
    newly_leaving: Vec<VmId>,
    gone: Vec<pumicecleat_policy::UpstreamIx>,
}

impl Directory {
    fn apply_list(&mut self, list: &VmList) -> SideChange {
        let ListChange {
            newly_leaving,
            gone,
        } = self.listed.apply_list(&list.vms, list.version);
        for vm in &newly_leaving {
            if let Some(side) = self.sides.get_mut(vm) {
                side.leaving = true;
                self.router.mark_leaving(side.up);
            }
        }
        let gone = gone.iter().filter_map(|vm| self.remove_side(vm)).collect();
        SideChange {
            newly_leaving,
            gone,
        }
    }

    fn has_side(&self, vm: &VmId) -> bool {
        self.sides.contains_key(vm)
    }
}
