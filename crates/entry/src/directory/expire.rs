//! Sides that fall silent.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, VmId};

use super::Directory;
use crate::shared::Shared;

/// Time between two looks.
const PACE: Duration = Duration::from_secs(1);

/// Age of a report from which on its side counts as silent, beyond the reports it may miss.
const SILENT: Millis = Millis(15_000);

/// A side that fell silent.
struct Silence {
    vm: VmId,
    address: String,
    silent: Millis,
}

/// Watches for silent sides until the process ends.
pub(crate) async fn watch_silence(shared: Rc<Shared>) {
    loop {
        shared.timer.sleep(PACE).await;
        let now = shared.timer.now();
        let found = shared.directory.borrow_mut().expire(now);
        for silence in found {
            let fields = [
                field("upstream", &silence.vm),
                field("address", &silence.address),
                field("silent_ms", silence.silent.0),
            ];
            shared.log.emit(&events::SIDE_SILENT, &fields);
        }
        let sides = shared.directory.borrow().side_count();
        shared.meters.set_sides(sides);
    }
}

impl Directory {
    /// Moves silent sides behind the others, and forgets them later.
    fn expire(&mut self, now: Millis) -> Vec<Silence> {
        // Where reports are rare, more time passes before one is missed.
        let now = now.since(self.missed_report_age());
        for up in self.router.expire(now) {
            let place = self.by_index.get_mut(up.0 as usize);
            if let Some(vm) = place.and_then(Option::take) {
                self.sides.remove(&vm);
            }
        }
        let mut found = Vec::new();
        for (vm, side) in &mut self.sides {
            let silent = now.since(side.seen);
            if side.silent || silent <= SILENT {
                continue;
            }
            side.silent = true;
            found.push(Silence {
                vm: vm.clone(),
                address: side.address.clone(),
                silent,
            });
        }
        found
    }
}
