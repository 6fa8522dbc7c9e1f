//! Persists suspects across restarts of all processes, in a separate stream of the deployment's log.
//!
//! A gateway that observes the second end of an upstream during a request, or a later one, stores the request
//! there; it removes it when an upstream serves the request or when the request expires. Each gateway reads
//! the stream once at its start; later changes are exchanged between processes. Only the time of a record is
//! taken from the system clock: it must outlast all processes, and an error of seconds is harmless.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use pumicecleat_infra::{AppendError, KeyedLog, KeyedRecord, read_newest};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{SuspectTable, min_ends};
use pumicecleat_types::{Millis, SuspectKey, SuspectReport};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// Stream of the log.
const STREAM: &str = "keyed.suspects";

/// Time for which requests are collected into one append, because many requests become suspects at once when
/// an upstream ends.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Delay after a failed call; it doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum of this delay.
const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);

/// Stored value of a request.
#[derive(Serialize, Deserialize)]
struct StoredSuspect {
    word: SuspectReport,
    /// Unix time of the record in milliseconds.
    at: u64,
}

/// Requests whose record is outdated.
pub(crate) struct PersistQueue {
    outdated: RefCell<BTreeSet<SuspectKey>>,
    /// Requests that this gateway stores in the log.
    stored: RefCell<BTreeSet<SuspectKey>>,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl PersistQueue {
    pub(super) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            outdated: RefCell::default(),
            stored: RefCell::default(),
            sender,
            receiver,
        }
    }

    /// Schedules a write of the request's record, or its removal.
    pub(super) fn push(&self, suspect: SuspectKey) {
        self.outdated.borrow_mut().insert(suspect);
        // A full channel already holds a wakeup.
        let _ = self.sender.try_send(());
    }
}

impl PersistQueue {
    /// Schedules a write of all requests that this gateway stores.
    pub(super) fn requeue_stored(&self) {
        for suspect in self.stored.borrow().iter() {
            self.push(*suspect);
        }
    }

    /// Records that a record was written; an empty `value` removes it.
    fn record_written(&self, suspect: SuspectKey, value: &[u8]) {
        let mut stored = self.stored.borrow_mut();
        if value.is_empty() {
            stored.remove(&suspect);
        } else {
            stored.insert(suspect);
        }
    }
}

/// Reads the stored suspects, then stores changes; never returns.
pub(crate) async fn persist_suspects(shared: Rc<Shared>, store: Rc<dyn KeyedLog>) {
    load_stored(&shared, &store).await;
    let persist_queue = &shared.suspects.persist_queue;
    loop {
        // The channel can't be closed, because `shared` holds both ends.
        let _ = persist_queue.receiver.recv().await;
        shared.timer.sleep(BATCH_DELAY).await;
        let requests = persist_queue.outdated.take();
        let mut delay = RETRY_DELAY;
        while let Err(e) = write_records(&shared, &*store, &requests).await {
            log_store_lost(&shared, &e.to_string());
            shared.timer.sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

async fn load_stored(shared: &Shared, store: &Rc<dyn KeyedLog>) {
    let mut delay = RETRY_DELAY;
    let newest = loop {
        let (store, timer) = (Rc::clone(store), shared.timer.clone());
        match read_newest(store, STREAM.to_owned(), timer).await {
            Ok(newest) => break newest,
            Err(e) => log_store_lost(shared, &e.to_string()),
        }
        shared.timer.sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    };
    let count = newest.records.len();
    let fields = [field("stream", STREAM), field("records", count)];
    shared.log.emit(&events::STORE_READ, &fields);
    for record in newest.records {
        apply_record(shared, &record);
    }
}

fn apply_record(shared: &Shared, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        return;
    };
    let mut stored: StoredSuspect = match serde_json::from_slice(value) {
        Ok(stored) => stored,
        Err(e) => {
            let error = format!("step read record {STREAM}/{}: {e}", record.key);
            let fields = [field("error", error.as_str())];
            return shared.log.emit(&events::RECORD_UNREADABLE, &fields);
        }
    };
    let stored_for = unix_ms().saturating_sub(stored.at);
    stored.word.age_ms += stored_for;
    for end in &mut stored.word.ends {
        end.age_ms += stored_for;
    }
    let now = shared.timer.now();
    let suspect = stored.word.key;
    let changed = shared
        .suspects
        .table
        .borrow_mut()
        .merge(&[stored.word], now);
    if shared.suspects.end_count(&suspect, now) < min_ends(suspect.kind) {
        shared.suspects.persist_queue.push(suspect);
    }
    for suspect in changed {
        super::log_suspected(shared, &suspect, STREAM);
    }
}

async fn write_records(
    shared: &Shared,
    store: &dyn KeyedLog,
    requests: &BTreeSet<SuspectKey>,
) -> Result<(), AppendError> {
    let now = shared.timer.now();
    let record = |f: &SuspectKey| {
        let value = record_value(&shared.suspects.table.borrow(), f, now);
        shared.suspects.persist_queue.record_written(*f, &value);
        store.keyed_record(&f.digest.to_string(), &value)
    };
    let records = requests.iter().map(record).collect();
    store.append(STREAM, records).await.map(|_| ())
}

/// Value of a request's record; empty if it is not to be stored.
fn record_value(suspects: &SuspectTable, suspect: &SuspectKey, now: Millis) -> Vec<u8> {
    if suspects.end_count(suspect, now) < min_ends(suspect.kind) {
        return Vec::new();
    }
    let Some(word) = suspects.export(suspect, now) else {
        return Vec::new();
    };
    let stored = StoredSuspect {
        word,
        at: unix_ms(),
    };
    serde_json::to_vec(&stored).unwrap_or_default()
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}

fn log_store_lost(shared: &Shared, error: &str) {
    let fields = [field("stream", STREAM), field("error", error)];
    shared.log.emit(&events::STORE_LOST, &fields);
}
