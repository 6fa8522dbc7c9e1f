//! The VM list, read again and again.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::{VmList, Vms};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, VmId};

use super::Directory;
use super::listed::Change;
use crate::shared::Shared;

/// Shortest time between two reads.
const PACE: Duration = Duration::from_secs(1);

/// VMs that a read per second may list; more are read less often.
const VMS_A_SECOND: usize = 256;

/// Longest time between two reads.
const LONGEST: Duration = Duration::from_secs(3);

/// Reads the list until the process ends.
pub(crate) async fn follow_vms(shared: Rc<Shared>, vms: Rc<dyn Vms>) {
    let mut down = None;
    loop {
        let region = shared.options.region.as_str().to_owned();
        match vms.list(Some(&region)).await {
            Ok(list) => {
                note_up(&shared, &mut down);
                take(&shared, &list);
            }
            Err(e) => note_down(&shared, &mut down, &e.to_string()),
        }
        let listed = shared.directory.borrow().listed_count();
        shared.timer.sleep(pace(listed)).await;
    }
}

fn pace(listed: usize) -> Duration {
    let factor = u32::try_from(listed / VMS_A_SECOND).unwrap_or(u32::MAX);
    PACE.saturating_mul(factor.max(1)).min(LONGEST)
}

fn take(shared: &Shared, list: &VmList) {
    let change = shared.directory.borrow_mut().take_list(list);
    for vm in &change.leaving {
        let source = field("source", "VM list");
        let known = shared.directory.borrow().knows(vm);
        if known {
            let fields = [field("upstream", vm), source];
            shared.log.emit(&events::SIDE_LEAVING, &fields);
        } else {
            let fields = [field("vm", vm)];
            shared.log.emit(&events::VM_LISTED_LEAVING, &fields);
        }
        if *vm == shared.options.vm {
            shared.leaving.set(true);
            shared.stop.ask_once();
        }
    }
    for up in &change.gone {
        shared.load_order.borrow_mut().remove_side(*up);
    }
}

fn note_down(shared: &Shared, down: &mut Option<Millis>, error: &str) {
    if down.is_some() {
        return;
    }
    *down = Some(shared.timer.now());
    let address = field("address", shared.options.vm_list_addresses.as_str());
    let fields = [address, field("step", "list"), field("error", error)];
    shared.log.emit(&events::VM_LIST_DOWN, &fields);
}

fn note_up(shared: &Shared, down: &mut Option<Millis>) {
    let Some(since) = down.take() else {
        return;
    };
    let took = shared.timer.now().since(since).0;
    let address = field("address", shared.options.vm_list_addresses.as_str());
    let fields = [address, field("down_ms", took)];
    shared.log.emit(&events::VM_LIST_UP, &fields);
}

/// What a list changed, by index.
struct Moved {
    leaving: Vec<VmId>,
    gone: Vec<pumicecleat_policy::UpstreamIx>,
}

impl Directory {
    /// Takes a list in.
    fn take_list(&mut self, list: &VmList) -> Moved {
        let Change { leaving, gone } = self.listed.take(&list.vms, list.version);
        for vm in &leaving {
            if let Some(side) = self.sides.get_mut(vm) {
                side.leaving = true;
                self.router.mark_leaving(side.up);
            }
        }
        let gone = gone.iter().filter_map(|vm| self.remove_side(vm)).collect();
        Moved { leaving, gone }
    }

    fn knows(&self, vm: &VmId) -> bool {
        self.sides.contains_key(vm)
    }
}
