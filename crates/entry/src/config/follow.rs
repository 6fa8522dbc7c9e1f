//! Following the configuration stream of the log.
//!
//! The fold only moves forward, so a process that was paused or runs two reads at once never goes
//! back to an older revision. During an outage the current revision stays in force, and other
//! entries are queried for a newer one. The platform's `Follower` is not used here because it
//! reports only once that it has caught up, whereas requests need to know when the log was last
//! read to its end.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_config::{FoldEvent, SnapshotScan};
use pumicecleat_infra::{Batch, ReadError};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{LogRecord, Millis};

use super::{Configuration, STREAM, peers};
use crate::shared::Shared;

const MAX_RECORDS_PER_READ: u32 = 256;

/// Time for which a read waits for a record.
const MAX_READ_WAIT: Duration = Duration::from_secs(2);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay after a read that did not advance the fold.
const EMPTY_READ_DELAY: Duration = Duration::from_millis(50);

/// Snapshot items checked without yielding, about two milliseconds of work.
const MAX_SLICE_ITEMS: u32 = 256;

/// Pause between two slices of a snapshot.
const SLICE_PAUSE: Duration = Duration::from_millis(1);

/// Maximum age of the last read to the log's end for serving a request without another read.
const MAX_READ_AGE: Millis = Millis(5_000);

/// Time for which a request waits for a read.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);

/// Readiness condition of the configuration.
pub(crate) const CONFIG_CONDITION: &str = "config";

/// Follows the stream until the process ends.
pub(crate) async fn follow(shared: Rc<Shared>) {
    loop {
        let before = shared.config.next_offset();
        if !read_batch(&shared, MAX_READ_WAIT).await {
            peers::fetch_from_peers(&shared).await;
            shared.timer.sleep(RETRY_DELAY).await;
        } else if shared.config.next_offset() == before {
            // Prevents a busy loop if the log returns without waiting, or if a record can't be
            // applied.
            shared.timer.sleep(EMPTY_READ_DELAY).await;
        }
    }
}

/// Reads the log to its end if that was not done recently, such as after a pause of the process.
pub(crate) async fn ensure_fresh(shared: &Shared) {
    let current = &shared.config;
    if current.outage_since.get().is_some() || current.is_fresh(shared.timer.now(), MAX_READ_AGE) {
        return;
    }
    // Boxed to keep the future of each request small.
    Box::pin(refresh(shared)).await;
}

/// Reads the log without waiting for new records, or queries other entries during an outage.
pub(crate) async fn refresh(shared: &Shared) {
    let read = async {
        if !read_batch(shared, Duration::ZERO).await {
            peers::fetch_from_peers(shared).await;
        }
    };
    // After a timeout the current revision is used. Sides reject requests with an older revision
    // than theirs.
    let _ = shared.timer.within(REFRESH_TIMEOUT, read).await;
}

/// Reads one batch from the next offset. Returns false if the read failed.
async fn read_batch(shared: &Shared, wait: Duration) -> bool {
    let from = shared.config.next_offset();
    let read = shared
        .log_service
        .read(STREAM, from, MAX_RECORDS_PER_READ, wait)
        .await;
    match read {
        Ok(batch) => apply_batch(shared, &batch).await,
        Err(ReadError::Trimmed { first, .. }) => {
            return skip_to_snapshot(shared, from, first).await;
        }
        Err(e) => {
            record_outage(shared, &e);
            return false;
        }
    }
    true
}

async fn apply_batch(shared: &Shared, batch: &Batch) {
    clear_outage(shared);
    for record in &batch.records {
        let scan = scan(shared, record).await;
        if !apply_record(shared, record, scan) {
            return;
        }
    }
    if shared.config.next_offset() >= batch.next {
        on_read_to_end(shared);
    }
}

/// Scans a snapshot record in slices, because a scan in one step would delay every stream.
async fn scan<'r>(shared: &Shared, record: &'r LogRecord) -> Option<SnapshotScan<'r>> {
    if record.offset != shared.config.next_offset() {
        return None;
    }
    let mut scan = SnapshotScan::open(&record.data)?;
    while scan.step(MAX_SLICE_ITEMS) {
        shared.timer.sleep(SLICE_PAUSE).await;
    }
    Some(scan)
}

/// Reads from the oldest retained record up to a snapshot that restarts the fold.
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
            .read(STREAM, from, MAX_RECORDS_PER_READ, Duration::ZERO)
            .await;
        let batch = match read {
            Ok(batch) => batch,
            Err(e) => {
                record_outage(shared, &e);
                return false;
            }
        };
        let started = batch
            .records
            .iter()
            .any(|record| apply_record(shared, record, None));
        if started {
            return true;
        }
        let Some(last) = batch.records.last() else {
            return false;
        };
        from = last.offset + 1;
    }
}

/// Applies a record. Returns false if it lies beyond a gap that it does not close.
fn apply_record(shared: &Shared, record: &LogRecord, scan: Option<SnapshotScan<'_>>) -> bool {
    let Ok(event) = shared.config.apply(record, scan) else {
        return false;
    };
    let offset = field("offset", record.offset);
    match &event {
        FoldEvent::Accepted { .. } | FoldEvent::Restored { .. } => on_new_revision(shared, "log"),
        FoldEvent::Refused { cause, .. } => {
            let revision = field("revision", shared.config.revision());
            let fields = [revision, offset, field("reason", cause)];
            shared.log.emit(&events::CONFIG_REFUSED, &fields);
        }
        FoldEvent::UnsupportedFormat { format, .. } => {
            log_unsupported_format(shared, record.offset, *format);
        }
        FoldEvent::Malformed { detail, .. } => {
            let fields = [offset, field("error", detail)];
            shared.log.emit(&events::RECORD_BAD, &fields);
        }
        FoldEvent::Ignored(objection) => {
            let fields = [offset, field("error", objection)];
            shared.log.emit(&events::RECORD_BAD, &fields);
        }
        _ => {}
    }
    shared.config.next_offset() > record.offset || matches!(event, FoldEvent::Restored { .. })
}

/// Logs once per record that its format is not supported. The process continues with its current
/// revision, and sides with a newer one reject requests that differ from it.
fn log_unsupported_format(shared: &Shared, offset: u64, format: u32) {
    if shared.config.unsupported_offset.replace(Some(offset)) == Some(offset) {
        return;
    }
    let error = format!("format {format} is newer than this program");
    let fields = [field("offset", offset), field("error", &error)];
    shared.log.emit(&events::RECORD_BAD, &fields);
}

/// Logs and counts a new revision. One received from a peer also makes the entry ready.
pub(super) fn on_new_revision(shared: &Shared, source: &str) {
    let revision = shared.config.revision();
    let fields = [
        field("revision", revision),
        field("offset", shared.config.next_offset()),
        field("source", source),
    ];
    shared.log.emit(&events::CONFIG_IN_FORCE, &fields);
    shared.meters.set_revision(revision);
    if source != "log" {
        mark_ready(shared);
    }
}

/// Records that the log was read to its end, which makes the entry ready.
fn on_read_to_end(shared: &Shared) {
    let now = shared.timer.now();
    shared.config.read_to_end_at.set(Some(now));
    mark_ready(shared);
}

fn mark_ready(shared: &Shared) {
    if shared.config.revision() > 0 {
        shared.config.authoritative.set(true);
        shared.readiness.set_met(CONFIG_CONDITION);
    }
}

fn record_outage(shared: &Shared, error: &ReadError) {
    if shared.config.outage_since.get().is_some() {
        return;
    }
    shared.config.outage_since.set(Some(shared.timer.now()));
    let address = field("address", shared.options.log_addresses.as_str());
    let fields = [address, field("step", "read"), field("error", error)];
    shared.log.emit(&events::LOG_DOWN, &fields);
}

fn clear_outage(shared: &Shared) {
    let Some(since) = shared.config.outage_since.take() else {
        return;
    };
    let down = shared.timer.now().since(since).0;
    let address = field("address", shared.options.log_addresses.as_str());
    let fields = [address, field("down_ms", down)];
    shared.log.emit(&events::LOG_UP, &fields);
}

/// Reads the log at once because a side has a newer revision. Calls during such a read start no
/// other one.
pub(crate) fn spawn_refresh(shared: &Rc<Shared>) {
    if shared.config.refreshing.replace(true) {
        return;
    }
    let shared = Rc::clone(shared);
    monoio::spawn(async move {
        refresh(&shared).await;
        shared.config.refreshing.set(false);
    });
}

impl Configuration {
    /// Whether `revision`, reported by another process, is newer than the one in force here.
    pub(crate) fn is_older_than(&self, revision: u64) -> bool {
        revision > self.revision()
    }
}
