//! Persists suspects across restarts of all processes, in a separate stream of the deployment's log.
//!
//! A gateway that observes the second end during a request, or a later one, stores the request there; it
//! removes it when an upstream serves the request or when the request expires. Each gateway reads the stream
//! once at its start; later changes are exchanged between processes. Only the time of a record is taken from
//! the system clock: it must outlast all processes, and an error of seconds is harmless.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use pumicecleat_infra::{AppendError, KeyedLog, KeyedRecord};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{SuspectTable, TRIAL_MIN_ENDS};
use pumicecleat_types::{Fingerprint, Millis, SuspectWord};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// Stream of the log.
const STREAM: &str = "keyed.suspects";

/// Time for which requests are collected into one append, because many requests become suspects at once when
/// an upstream ends.
const GATHER: Duration = Duration::from_millis(100);

/// Delay after a failed call; it doubles with each further failure.
const PAUSE: Duration = Duration::from_secs(1);

/// Maximum of this delay.
const LONGEST_PAUSE: Duration = Duration::from_mins(1);

/// Stored value of a request.
#[derive(Serialize, Deserialize)]
struct Kept {
    word: SuspectWord,
    /// Unix time of the record in milliseconds.
    at: u64,
}

/// Requests whose record is outdated.
pub(crate) struct Unkept {
    requests: RefCell<BTreeSet<Fingerprint>>,
    /// Requests that this gateway stores in the log.
    kept: RefCell<BTreeSet<Fingerprint>>,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Unkept {
    pub(super) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            requests: RefCell::default(),
            kept: RefCell::default(),
            sender,
            receiver,
        }
    }

    /// Schedules a write of the request's record, or its removal.
    pub(super) fn add(&self, fingerprint: Fingerprint) {
        self.requests.borrow_mut().insert(fingerprint);
        // A full channel already holds a wakeup.
        let _ = self.sender.try_send(());
    }
}

impl Unkept {
    /// Schedules a write of all requests that this gateway stores.
    pub(super) fn add_kept(&self) {
        for fingerprint in self.kept.borrow().iter() {
            self.add(*fingerprint);
        }
    }

    /// Records that a record was written; an empty `value` removes it.
    fn written(&self, fingerprint: Fingerprint, value: &[u8]) {
        let mut kept = self.kept.borrow_mut();
        if value.is_empty() {
            kept.remove(&fingerprint);
        } else {
            kept.insert(fingerprint);
        }
    }
}

/// Reads the stored suspects, then stores changes; never returns.
pub(crate) async fn keep(shared: Rc<Shared>, store: Rc<dyn KeyedLog>) {
    load(&shared, &*store).await;
    let unkept = &shared.guard.unkept;
    loop {
        // The channel can't be closed, because `shared` holds both ends.
        let _ = unkept.receiver.recv().await;
        shared.timer.sleep(GATHER).await;
        let requests = unkept.requests.take();
        let mut pause = PAUSE;
        while let Err(e) = write(&shared, &*store, &requests).await {
            tell_lost(&shared, &e.to_string());
            shared.timer.sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}

async fn load(shared: &Shared, store: &dyn KeyedLog) {
    let mut pause = PAUSE;
    let newest = loop {
        match store.newest(STREAM).await {
            Ok(newest) => break newest,
            Err(e) => tell_lost(shared, &e.to_string()),
        }
        shared.timer.sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    };
    let count = newest.records.len();
    let fields = [field("stream", STREAM), field("records", count)];
    shared.log.emit(&events::STORE_READ, &fields);
    for record in newest.records {
        take(shared, &record);
    }
}

fn take(shared: &Shared, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        return;
    };
    let mut kept: Kept = match serde_json::from_slice(value) {
        Ok(kept) => kept,
        Err(e) => {
            let error = format!("step read record {STREAM}/{}: {e}", record.key);
            let fields = [field("error", error.as_str())];
            return shared.log.emit(&events::RECORD_UNREADABLE, &fields);
        }
    };
    kept.word.age_ms += unix_ms().saturating_sub(kept.at);
    let now = shared.timer.now();
    let fingerprint = kept.word.fingerprint;
    let new = shared.guard.table.borrow_mut().merge(&[kept.word], now);
    if shared.guard.ends(&fingerprint, now) < TRIAL_MIN_ENDS {
        shared.guard.unkept.add(fingerprint);
    }
    for fingerprint in new {
        super::tell_suspected(shared, &fingerprint, STREAM);
    }
}

async fn write(
    shared: &Shared,
    store: &dyn KeyedLog,
    requests: &BTreeSet<Fingerprint>,
) -> Result<(), AppendError> {
    let now = shared.timer.now();
    let record = |f: &Fingerprint| {
        let value = value(&shared.guard.table.borrow(), f, now);
        shared.guard.unkept.written(*f, &value);
        store.keyed_record(&f.to_string(), &value)
    };
    let records = requests.iter().map(record).collect();
    store.append(STREAM, records).await.map(|_| ())
}

/// Value of a request's record; empty if it is not to be stored.
fn value(suspects: &SuspectTable, fingerprint: &Fingerprint, now: Millis) -> Vec<u8> {
    if suspects.end_count(fingerprint, now) < TRIAL_MIN_ENDS {
        return Vec::new();
    }
    let Some(word) = suspects.export(fingerprint, now) else {
        return Vec::new();
    };
    let kept = Kept {
        word,
        at: unix_ms(),
    };
    serde_json::to_vec(&kept).unwrap_or_default()
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}

fn tell_lost(shared: &Shared, error: &str) {
    let fields = [field("stream", STREAM), field("error", error)];
    shared.log.emit(&events::STORE_LOST, &fields);
}
