//! Reading on in the log.
//!
//! The fold only moves forward, so that a process which was paused, or reads twice at once, takes
//! nothing back. During an outage the revision held stays in force; other entries are asked for a
//! newer one. The platform's `Follower` is not used here: it tells only once that it has caught up,
//! while requests need to know when the log was last read to its end.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_config::{FoldEvent, Scan};
use pumicecleat_infra::{Batch, ReadError};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{LogRecord, Millis};

use super::{Configuration, STREAM, peers};
use crate::shared::Shared;

/// Records of one read.
const READ_RECORDS: u32 = 256;

/// Longest wait of a read for a record.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Pause after a read that failed.
const PAUSE: Duration = Duration::from_millis(500);

/// Pause after a read that gave nothing.
const SHORT_PAUSE: Duration = Duration::from_millis(50);

/// Items of a snapshot checked in a row, about two milliseconds of work.
const SLICE_ITEMS: u32 = 256;

/// Pause between two slices.
const SLICE_PAUSE: Duration = Duration::from_millis(1);

/// Age of the last read up to which a request is decided without another.
const FRESH: Millis = Millis(5_000);

/// Longest wait of a request for a read.
const REFRESH_SPAN: Duration = Duration::from_millis(500);

/// Name of the readiness condition.
pub(crate) const CONFIG_CONDITION: &str = "config";

/// Follows the stream until the process ends.
pub(crate) async fn follow(shared: Rc<Shared>) {
    loop {
        let before = shared.config.next();
        if !read_on(&shared, READ_WAIT).await {
            peers::ask(&shared).await;
            shared.timer.sleep(PAUSE).await;
        } else if shared.config.next() == before {
            // Neither a log that does not wait by itself nor a record that can't be judged may
            // make this loop spin.
            shared.timer.sleep(SHORT_PAUSE).await;
        }
    }
}

/// Reads what the log holds now, if it was not read lately: after a pause of the process.
pub(crate) async fn ensure_fresh(shared: &Shared) {
    let current = &shared.config;
    if current.outage.get().is_some() || current.is_fresh(shared.timer.now(), FRESH) {
        return;
    }
    // Boxed, as each request would hold room for it.
    Box::pin(refresh(shared)).await;
}

/// Reads what the log holds now; during an outage asks other entries.
pub(crate) async fn refresh(shared: &Shared) {
    let read = async {
        if !read_on(shared, Duration::ZERO).await {
            peers::ask(shared).await;
        }
    };
    // Out of time, the revision held decides; sides refuse what is older than theirs.
    let _ = shared.timer.within(REFRESH_SPAN, read).await;
}

/// Reads once from the offset wanted; false if the log did not answer.
async fn read_on(shared: &Shared, wait: Duration) -> bool {
    let from = shared.config.next();
    let read = shared
        .log_service
        .read(STREAM, from, READ_RECORDS, wait)
        .await;
    match read {
        Ok(batch) => take(shared, &batch).await,
        Err(ReadError::Trimmed { first, .. }) => {
            return skip_to_snapshot(shared, from, first).await;
        }
        Err(e) => {
            note_down(shared, &e);
            return false;
        }
    }
    true
}

async fn take(shared: &Shared, batch: &Batch) {
    note_up(shared);
    for record in &batch.records {
        let scan = scan(shared, record).await;
        if !apply(shared, record, scan) {
            return;
        }
    }
    if shared.config.next() >= batch.next {
        confirm(shared);
    }
}

/// Goes through a snapshot record in slices: in one step it would hold up every stream.
async fn scan<'r>(shared: &Shared, record: &'r LogRecord) -> Option<Scan<'r>> {
    if record.offset != shared.config.next() {
        return None;
    }
    let mut scan = Scan::open(&record.data)?;
    while scan.step(SLICE_ITEMS) {
        shared.timer.sleep(SLICE_PAUSE).await;
    }
    Some(scan)
}

/// Reads from the oldest record kept up to a snapshot that starts the fold anew.
async fn skip_to_snapshot(shared: &Shared, wanted: u64, first: u64) -> bool {
    let fields = [
        field("stream", STREAM),
        field("wanted", wanted),
        field("first", first),
    ];
    shared.log.emit(&events::RECORDS_TRIMMED, &fields);
    let mut from = first;
    loop {
        let read = shared
            .log_service
            .read(STREAM, from, READ_RECORDS, Duration::ZERO)
            .await;
        let batch = match read {
            Ok(batch) => batch,
            Err(e) => {
                note_down(shared, &e);
                return false;
            }
        };
        let started = batch
            .records
            .iter()
            .any(|record| apply(shared, record, None));
        if started {
            return true;
        }
        let Some(last) = batch.records.last() else {
            return false;
        };
        from = last.offset + 1;
    }
}

/// Takes a record in; false if it lies behind a gap that it can't close.
fn apply(shared: &Shared, record: &LogRecord, scan: Option<Scan<'_>>) -> bool {
    let Ok(event) = shared.config.apply(record, scan) else {
        return false;
    };
    let offset = field("offset", record.offset);
    match &event {
        FoldEvent::Accepted { .. } | FoldEvent::Started { .. } => in_force(shared, "log"),
        FoldEvent::Refused { cause, .. } => {
            let revision = field("revision", shared.config.revision());
            let fields = [revision, offset, field("reason", cause)];
            shared.log.emit(&events::CONFIG_REFUSED, &fields);
        }
        FoldEvent::Newer { format, .. } => note_newer(shared, record.offset, *format),
        FoldEvent::Garbage { detail, .. } => {
            let fields = [offset, field("error", detail)];
            shared.log.emit(&events::RECORD_BAD, &fields);
        }
        FoldEvent::Ignored(objection) => {
            let fields = [offset, field("error", objection)];
            shared.log.emit(&events::RECORD_BAD, &fields);
        }
        _ => {}
    }
    shared.config.next() > record.offset || matches!(event, FoldEvent::Started { .. })
}

/// Logs once that this process can't follow. It serves on by the revision held; sides that know
/// more refuse what differs.
fn note_newer(shared: &Shared, offset: u64, format: u32) {
    if shared.config.newer.replace(Some(offset)) == Some(offset) {
        return;
    }
    let error = format!("format {format} is newer than this program");
    let fields = [field("offset", offset), field("error", &error)];
    shared.log.emit(&events::RECORD_BAD, &fields);
}

/// Notes that a newer revision is in force.
pub(super) fn in_force(shared: &Shared, source: &str) {
    let revision = shared.config.revision();
    let fields = [
        field("revision", revision),
        field("offset", shared.config.next()),
        field("source", source),
    ];
    shared.log.emit(&events::CONFIG_IN_FORCE, &fields);
    shared.meters.set_revision(revision);
    if source != "log" {
        hold(shared);
    }
}

/// Becomes ready with a configuration that is read to its end.
fn confirm(shared: &Shared) {
    let now = shared.timer.now();
    shared.config.confirmed.set(Some(now));
    hold(shared);
}

fn hold(shared: &Shared) {
    if shared.config.revision() > 0 {
        shared.config.vouched.set(true);
        shared.readiness.hold(CONFIG_CONDITION);
    }
}

fn note_down(shared: &Shared, error: &ReadError) {
    if shared.config.outage.get().is_some() {
        return;
    }
    shared.config.outage.set(Some(shared.timer.now()));
    let address = field("address", shared.options.log_addresses.as_str());
    let fields = [address, field("step", "read"), field("error", error)];
    shared.log.emit(&events::LOG_DOWN, &fields);
}

fn note_up(shared: &Shared) {
    let Some(since) = shared.config.outage.take() else {
        return;
    };
    let down = shared.timer.now().since(since).0;
    let address = field("address", shared.options.log_addresses.as_str());
    let fields = [address, field("down_ms", down)];
    shared.log.emit(&events::LOG_UP, &fields);
}

/// Reads the log at once, as a side holds a newer revision; one read serves all that say so.
pub(crate) fn catch_up(shared: &Rc<Shared>) {
    if shared.config.catching_up.replace(true) {
        return;
    }
    let shared = Rc::clone(shared);
    monoio::spawn(async move {
        refresh(&shared).await;
        shared.config.catching_up.set(false);
    });
}

impl Configuration {
    /// Whether another process speaks of a newer revision than the one in force here.
    pub(crate) fn is_older_than(&self, revision: u64) -> bool {
        revision > self.revision()
    }
}
