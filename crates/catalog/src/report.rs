//! Reports applied changes to the log and to the listener.

use pumicecleat_ops::{Event, Log, events, field};

use crate::{Applied, CatalogListener, Standing};

/// Logs `applied` and passes changes on to the listener. Returns whether anything changed.
pub(crate) fn report_applied(applied: &Applied, listener: &dyn CatalogListener, log: &Log) -> bool {
    log_applied(log, applied);
    let changed = applied.is_change();
    if changed {
        listener.on_applied(applied);
    }
    changed
}

fn log_applied(log: &Log, applied: &Applied) {
    match applied {
        Applied::Layout { number } => log.emit(&events::LAYOUT_TAKEN, &[field("number", *number)]),
        Applied::Stale { number } => log.emit(&events::LAYOUT_STALE, &[field("number", *number)]),
        Applied::Version { adapter, version } => {
            let fields = [
                field("adapter", adapter.as_str()),
                field("version", *version),
            ];
            log.emit(&events::VERSION_TAKEN, &fields);
        }
        Applied::Upstream { instance, standing } => {
            log_upstream(log, &events::UPSTREAM_LISTED, instance, *standing);
        }
        Applied::Restarted { instance, standing } => {
            log_upstream(log, &events::LISTED_AGAIN, instance, *standing);
        }
        Applied::Gone { instance } => {
            log.emit(
                &events::UPSTREAM_GONE,
                &[field("instance", instance.as_str())],
            );
        }
        Applied::Lapsed {
            instance,
            retained_for,
        } => {
            let fields = [
                field("instance", instance.as_str()),
                field("stays_ms", retained_for.0),
            ];
            log.emit(&events::UPSTREAM_LAPSED, &fields);
        }
        Applied::Returned { instance } => {
            let fields = [field("instance", instance.as_str())];
            log.emit(&events::UPSTREAM_RETURNED, &fields);
        }
        Applied::Outdated { instance } => {
            let fields = [field("instance", instance.as_str())];
            log.emit(&events::ENTRY_OUTDATED, &fields);
        }
        Applied::Unchanged => {}
    }
}

fn log_upstream(log: &Log, event: &'static Event, instance: &str, standing: Standing) {
    let standing = format!("{standing:?}").to_lowercase();
    let fields = [
        field("instance", instance),
        field("standing", standing.as_str()),
    ];
    log.emit(event, &fields);
}
