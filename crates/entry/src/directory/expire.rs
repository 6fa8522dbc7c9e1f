//! Detects sides that stop reporting.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, VmId};

use super::Directory;
use crate::shared::Shared;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a report after which a side counts as silent, beyond the reports it may miss.
const SILENT_AFTER: Millis = Millis(15_000);

struct SilentSide {
    vm: VmId,
    address: String,
    silent_for: Millis,
}

/// Watches for silent sides until the process ends.
pub(crate) async fn watch_silence(shared: Rc<Shared>) {
    loop {
        shared.timer.sleep(CHECK_INTERVAL).await;
        let now = shared.timer.now();
        let newly_silent = shared.directory.borrow_mut().mark_silent_sides(now);
        for side in newly_silent {
            let fields = [
                field("upstream", &side.vm),
                field("address", &side.address),
                field("silent_ms", side.silent_for.0),
            ];
            shared.log.emit(&events::SIDE_SILENT, &fields);
        }
        let sides = shared.directory.borrow().side_count();
        shared.meters.set_sides(sides);
    }
}

impl Directory {
    /// Marks sides without recent reports as silent, and removes those that the router has dropped.
    /// Returns the newly silent ones.
    fn mark_silent_sides(&mut self, now: Millis) -> Vec<SilentSide> {
        // With a longer report interval, a side counts as silent later.
        let now = now.since(self.missed_report_age());
        for up in self.router.expire(now) {
            let entry = self.by_index.get_mut(up.0 as usize);
            if let Some(vm) = entry.and_then(Option::take) {
                self.sides.remove(&vm);
            }
        }
        let mut newly_silent = Vec::new();
        for (vm, side) in &mut self.sides {
            let silent_for = now.since(side.last_report_at);
            if side.silent || silent_for <= SILENT_AFTER {
                continue;
            }
            side.silent = true;
            newly_silent.push(SilentSide {
                vm: vm.clone(),
                address: side.address.clone(),
                silent_for,
            });
        }
        newly_silent
    }
}
