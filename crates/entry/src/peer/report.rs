//! Reports from sides.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{Report, ReportReply};

use super::Message;
use crate::config::spawn_refresh;
use crate::directory::{ReportOutcome, ReportPacer};
use crate::shared::Shared;

pub(super) fn handle_report(
    shared: &Rc<Shared>,
    pacer: &RefCell<ReportPacer>,
    message: &Message<Report>,
) -> Result<ReportReply, String> {
    let report = &message.value;
    if report.address.parse::<SocketAddr>().is_err() {
        return Err(format!("address {:?} of {}", report.address, report.vm));
    }
    pacer.borrow_mut().record_length(message.length);
    let now = shared.timer.now();
    let outcome = shared.config.with(|config| {
        let mut directory = shared.directory.borrow_mut();
        directory.apply_report(report, config, now)
    });
    if shared.config.is_older_than(report.revision) {
        spawn_refresh(shared);
    }
    let sides = shared.directory.borrow().side_count();
    shared.meters.count_report(sides);
    let interval = pacer
        .borrow()
        .next_interval(sides, shared.options.report_bytes_per_s);
    shared
        .directory
        .borrow_mut()
        .set_report_interval(&report.vm, interval);
    Ok(ReportReply {
        next_ms: interval.0,
        revision: shared.config.revision(),
        needs_full_report: log_outcome(shared, report, &outcome),
    })
}

/// Logs what a report changed. Returns whether the next report must list the resident adapters.
fn log_outcome(shared: &Shared, report: &Report, outcome: &ReportOutcome) -> bool {
    let (needs_full_report, starts_leaving) = match *outcome {
        ReportOutcome::Outdated => return false,
        ReportOutcome::Updated {
            needs_full_report,
            starts_leaving,
        } => (needs_full_report, starts_leaving),
        ReportOutcome::Appeared {
            needs_full_report,
            starts_leaving,
        } => {
            log_side_seen(shared, report);
            (needs_full_report, starts_leaving)
        }
    };
    if starts_leaving {
        let fields = [field("upstream", &report.vm), field("source", "report")];
        shared.log.emit(&events::SIDE_LEAVING, &fields);
    }
    needs_full_report
}

fn log_side_seen(shared: &Shared, report: &Report) {
    let fields = [
        field("upstream", &report.vm),
        field("address", &report.address),
        field("pool", &report.pool),
        field("incarnation", report.incarnation),
    ];
    shared.log.emit(&events::SIDE_SEEN, &fields);
}
