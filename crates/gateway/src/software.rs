//! Register of the software versions that resumable streams may have begun at, in a stream of the deployment's log.
//!
//! A gateway begins such streams only at versions that it knows to be registered. So where the register, read after
//! a caller came to take a stream up, has one version of the service, that version began the stream, whatever
//! process forwarded it and whether it still runs. A version is written once, when its first engine is listed, and
//! stays.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::RetryMode;
use pumicecleat_infra::{KeyedLog, read_newest};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::name_key;
use pumicecleat_types::{Millis, ServiceId, SoftwareVersion};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::agents::engines;
use crate::shared::Shared;

/// Stream of the log.
const STREAM: &str = "keyed.software";

/// Interval between checks for versions that are not registered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest random delay before a version is registered: all gateways see its first engine at once, and those that
/// come later find it written.
const MAX_WRITE_DELAY_MS: u64 = 100;

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Timeout of a read that a request waits for.
const READ_TIMEOUT: Millis = Millis(300);

/// Timeout of a read that no request waits for.
const OWN_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between checks whether such a read has ended.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A version of a service's software.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Registered {
    service: ServiceId,
    software: SoftwareVersion,
}

/// What this gateway knows of the register.
pub(crate) struct SoftwareRegister {
    store: Rc<dyn KeyedLog>,
    known: RefCell<BTreeSet<Registered>>,
    /// Versions that a log restored from an older copy may have lost.
    lost: RefCell<BTreeSet<Registered>>,
    /// Whether a record could not be read, which may name any version.
    is_partial: Cell<bool>,
    /// Start of the last read that ended.
    read_from: Cell<Option<Millis>>,
    is_reading: Cell<bool>,
    /// Whether engines or routes have changed since the last check.
    is_outdated: Cell<bool>,
}

impl SoftwareRegister {
    pub(crate) fn new(store: &Rc<dyn KeyedLog>) -> Self {
        Self {
            store: Rc::clone(store),
            known: RefCell::default(),
            lost: RefCell::default(),
            is_partial: Cell::default(),
            read_from: Cell::default(),
            is_reading: Cell::default(),
            is_outdated: Cell::default(),
        }
    }

    /// Whether resumable streams may begin at this version.
    pub(crate) fn contains(&self, service: &ServiceId, software: &SoftwareVersion) -> bool {
        let known = self.known.borrow();
        let mut versions = known.iter().filter(|r| r.service == *service);
        versions.any(|r| r.software == *software)
    }

    /// Schedules a write of all versions, because the log may have lost some.
    pub(crate) fn write_again(&self) {
        let known = self.known.borrow();
        self.lost.borrow_mut().extend(known.iter().cloned());
        self.note_change();
    }

    /// Notes that engines or routes have changed.
    pub(crate) fn note_change(&self) {
        self.is_outdated.set(true);
    }

    /// Known versions of `service`.
    fn versions(&self, service: &ServiceId) -> Vec<SoftwareVersion> {
        let known = self.known.borrow();
        let versions = known.iter().filter(|r| r.service == *service);
        versions.map(|r| r.software.clone()).collect()
    }
}

/// The only version of `service` that a resumable stream can have begun at before `asked_at`; `None` if there are
/// several, or the register can't be read.
pub(crate) async fn only_software(
    shared: &Shared,
    service: &ServiceId,
    asked_at: Millis,
) -> Option<SoftwareVersion> {
    let register = &shared.software;
    if register.versions(service).len() > 1 || register.is_partial.get() {
        return None;
    }
    while register.read_from.get() < Some(asked_at) {
        if shared.timer.now().since(asked_at) >= READ_TIMEOUT {
            return None;
        }
        // One read serves all requests that came before it.
        if register.is_reading.get() {
            shared.timer.sleep(READ_CHECK_INTERVAL).await;
        } else if !read(shared, Duration::from_millis(READ_TIMEOUT.0)).await {
            return None;
        }
    }
    let mut versions = register.versions(service);
    let last = versions.pop();
    last.filter(|_| versions.is_empty() && !register.is_partial.get())
}

/// Reads the register; returns whether the log answered.
async fn read(shared: &Shared, timeout: Duration) -> bool {
    struct Reading<'a>(&'a Cell<bool>);
    impl Drop for Reading<'_> {
        fn drop(&mut self) {
            self.0.set(false);
        }
    }
    let register = &shared.software;
    register.is_reading.set(true);
    let _reading = Reading(&register.is_reading);
    let from = shared.timer.now();
    let (store, timer) = (Rc::clone(&register.store), shared.timer.clone());
    let read = read_newest(store, STREAM.to_owned(), timer);
    let newest = match shared.timer.within(timeout, read).await {
        Ok(Ok(newest)) => newest,
        Ok(Err(e)) => {
            log_store_lost(shared, &e.to_string());
            return false;
        }
        Err(_) => return false,
    };
    for record in newest.records {
        let Some(value) = &record.value else {
            continue;
        };
        match serde_json::from_slice::<Registered>(value) {
            Ok(registered) => add(shared, registered),
            Err(e) => {
                let error = format!("step read record {STREAM}/{}: {e}", record.key);
                let fields = [field("error", error.as_str())];
                shared.log.emit(&events::RECORD_UNREADABLE, &fields);
                register.is_partial.set(true);
            }
        }
    }
    register.read_from.set(Some(from));
    true
}

fn add(shared: &Shared, registered: Registered) {
    let fields = [
        field("service", registered.service.as_str()),
        field("software", registered.software.as_str()),
    ];
    let mut known = shared.software.known.borrow_mut();
    if !known.contains(&registered) {
        shared.log.emit(&events::SOFTWARE_REGISTERED, &fields);
        known.insert(registered);
    }
}

/// Registers the versions of listed engines that resumable streams may go to. Never returns.
pub(crate) async fn keep_register(shared: Rc<Shared>) {
    while !read(&shared, OWN_READ_TIMEOUT).await {
        shared.timer.sleep(RETRY_DELAY).await;
    }
    loop {
        shared.timer.sleep(CHECK_INTERVAL).await;
        if !shared.software.is_outdated.replace(false) || missing(&shared).is_empty() {
            continue;
        }
        if !register_missing(&shared).await {
            shared.software.note_change();
            shared.timer.sleep(RETRY_DELAY).await;
        }
    }
}

async fn register_missing(shared: &Shared) -> bool {
    let delay_ms = shared.rng.borrow_mut().random_range(0..=MAX_WRITE_DELAY_MS);
    shared.timer.sleep(Duration::from_millis(delay_ms)).await;
    if shared.software.is_reading.get() || !read(shared, OWN_READ_TIMEOUT).await {
        return false;
    }
    let missing = missing(shared);
    if missing.is_empty() {
        return true;
    }
    let store = &shared.software.store;
    let records = missing.iter().map(|r| record(&**store, r)).collect();
    if let Err(e) = store.append(STREAM, records).await {
        log_store_lost(shared, &e.to_string());
        return false;
    }
    for registered in missing {
        shared.software.lost.borrow_mut().remove(&registered);
        add(shared, registered);
    }
    true
}

fn record(store: &dyn KeyedLog, registered: &Registered) -> Vec<u8> {
    let name = format!("{}/{}", registered.service, registered.software);
    // Can't fail, as both fields are text.
    let value = serde_json::to_vec(registered).unwrap_or_default();
    store.keyed_record(&format!("{:016x}", name_key(&name)), &value)
}

/// Versions to be registered.
fn missing(shared: &Shared) -> BTreeSet<Registered> {
    let catalog = shared.catalog.borrow();
    let Some(layout) = catalog.layout() else {
        return BTreeSet::new();
    };
    let routes = layout
        .routes
        .iter()
        .filter(|r| r.retry == RetryMode::Resume);
    let services: BTreeSet<&ServiceId> = routes
        .flat_map(|r| r.services.iter().map(|s| &s.service))
        .collect();
    let known = shared.software.known.borrow();
    let mut missing = shared.software.lost.borrow().clone();
    for upstream in engines(&catalog).filter(|u| services.contains(&u.service)) {
        let registered = Registered {
            service: upstream.service.clone(),
            software: upstream.software.clone(),
        };
        if !known.contains(&registered) {
            missing.insert(registered);
        }
    }
    missing
}

fn log_store_lost(shared: &Shared, error: &str) {
    let fields = [field("stream", STREAM), field("error", error)];
    shared.log.emit(&events::STORE_LOST, &fields);
}
