//! Reports of sides.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{Report, ReportReply};

use super::Message;
use crate::config::catch_up;
use crate::directory::{Pace, Taken};
use crate::shared::Shared;

pub(super) fn answer(
    shared: &Rc<Shared>,
    pace: &RefCell<Pace>,
    message: &Message<Report>,
) -> Result<ReportReply, String> {
    let report = &message.value;
    if report.address.parse::<SocketAddr>().is_err() {
        return Err(format!("address {:?} of {}", report.address, report.vm));
    }
    pace.borrow_mut().count(message.length);
    let now = shared.timer.now();
    let taken = shared.config.with(|config| {
        let mut directory = shared.directory.borrow_mut();
        directory.report(report, config, now)
    });
    if shared.config.is_behind(report.revision) {
        catch_up(shared);
    }
    let sides = shared.directory.borrow().len();
    shared.meters.report(sides);
    let next = pace.borrow().next(sides, shared.options.report_bytes_per_s);
    shared.directory.borrow_mut().expect(&report.vm, next);
    Ok(ReportReply {
        next_ms: next.0,
        revision: shared.config.revision(),
        whole: note(shared, report, &taken),
    })
}

/// Logs what a report changed; gives whether the next must be whole.
fn note(shared: &Shared, report: &Report, taken: &Taken) -> bool {
    let (whole, leaves) = match *taken {
        Taken::Old => return false,
        Taken::Known { whole, leaves } => (whole, leaves),
        Taken::Seen { whole, leaves } => {
            note_seen(shared, report);
            (whole, leaves)
        }
    };
    if leaves {
        let fields = [field("upstream", &report.vm), field("source", "report")];
        shared.log.emit(&events::SIDE_LEAVING, &fields);
    }
    whole
}

fn note_seen(shared: &Shared, report: &Report) {
    let fields = [
        field("upstream", &report.vm),
        field("address", &report.address),
        field("pool", &report.pool),
        field("incarnation", report.incarnation),
    ];
    shared.log.emit(&events::SIDE_SEEN, &fields);
}
