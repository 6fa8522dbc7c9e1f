//! Reports of sides.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{Report, ReportReply};

use super::Message;
use crate::config::spawn_refresh;
use crate::directory::{ReportOutcome, ReportPacer};
use crate::shared::Shared;

pub(super) fn answer(
    shared: &Rc<Shared>,
    pace: &RefCell<ReportPacer>,
    message: &Message<Report>,
) -> Result<ReportReply, String> {
    let report = &message.value;
    if report.address.parse::<SocketAddr>().is_err() {
        return Err(format!("address {:?} of {}", report.address, report.vm));
    }
    pace.borrow_mut().record_length(message.length);
    let now = shared.timer.now();
    let taken = shared.config.with(|config| {
        let mut directory = shared.directory.borrow_mut();
        directory.apply_report(report, config, now)
    });
    if shared.config.is_older_than(report.revision) {
        spawn_refresh(shared);
    }
    let sides = shared.directory.borrow().side_count();
    shared.meters.count_report(sides);
    let next = pace
        .borrow()
        .next_interval(sides, shared.options.report_bytes_per_s);
    shared
        .directory
        .borrow_mut()
        .set_report_interval(&report.vm, next);
    Ok(ReportReply {
        next_ms: next.0,
        revision: shared.config.revision(),
        whole: note(shared, report, &taken),
    })
}

/// Logs what a report changed; gives whether the next must be whole.
fn note(shared: &Shared, report: &Report, taken: &ReportOutcome) -> bool {
    let (whole, leaves) = match *taken {
        ReportOutcome::Outdated => return false,
        ReportOutcome::Updated { whole, leaves } => (whole, leaves),
        ReportOutcome::Appeared { whole, leaves } => {
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
