//! Determines the instance name of the engine.
//!
//! The engine's report does not contain it, but its health check does. The engine is asked when a gateway or a
//! relay names an instance other than the known one, and occasionally while none is known.
//!
//! Where the engine can't be asked, the name is looked up in the list of upstreams. The list has an entry for each
//! upstream, so that agents that all read it would read as many entries as the square of their number.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{
    Change, DecodeError, RecordDecoder, Standing, Topic, UnreadableKeys, Upstream,
};
use pumicecleat_infra::{KeyedLog, KeyedRecord, read_newest};
use pumicecleat_ops::{events, field};

use crate::ReportError;
use crate::shared::Shared;

/// Minimum interval between lookups. An engine is listed about a second after its start.
const MIN_LOOKUP_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum interval between lookups while the instance is not known and no other process names one. Gateways read
/// the list several times within it.
const MAX_LOOKUP_INTERVAL: Duration = Duration::from_secs(4);

/// Timeout of a health check. On the same VM it takes a few milliseconds.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of health checks in a row without an instance after which the list is read.
const MAX_UNNAMED_CHECKS: u32 = 8;

/// Looks the instance up whenever it is unknown or uncertain. Never returns.
pub(crate) async fn find_instance(
    shared: Rc<Shared>,
    store: Rc<dyn KeyedLog>,
    decoder: Rc<dyn RecordDecoder>,
) {
    let mut lookup = Lookup {
        shared: &shared,
        store: &store,
        decoder: &*decoder,
        unreadable: RefCell::default(),
        unnamed_checks: 0,
    };
    loop {
        // Looks the instance up in either case, whether one was named or the time has elapsed.
        let _ = shared
            .timer
            .within(MAX_LOOKUP_INTERVAL, shared.instance_claimed.notified())
            .await;
        if shared.needs_instance_lookup() {
            lookup.run().await;
        }
        shared.timer.sleep(MIN_LOOKUP_INTERVAL).await;
    }
}

struct Lookup<'a> {
    shared: &'a Shared,
    store: &'a Rc<dyn KeyedLog>,
    decoder: &'a dyn RecordDecoder,
    unreadable: RefCell<UnreadableKeys>,
    /// Number of health checks in a row that named no instance.
    unnamed_checks: u32,
}

impl Lookup<'_> {
    async fn run(&mut self) {
        let Some(path) = self.health_path() else {
            return self.read_list().await;
        };
        let engine = &self.shared.engine_client;
        match engine.fetch_instance(&path, HEALTH_TIMEOUT).await {
            Ok(Some(instance)) => {
                self.unnamed_checks = 0;
                self.shared.confirm_instance(&instance);
            }
            Ok(None) => self.unnamed_checks += 1,
            Err(e @ ReportError::Decode { .. }) => {
                self.log_health_path(&e);
                return self.read_list().await;
            }
            // The report tells that the engine does not answer.
            Err(_) => {}
        }
        if self.unnamed_checks >= MAX_UNNAMED_CHECKS {
            self.unnamed_checks = 0;
            self.read_list().await;
        }
    }

    fn log_health_path(&self, error: &ReportError) {
        let error = DecodeError {
            key: self.shared.service.to_string(),
            detail: error.to_string(),
        };
        let log = &self.shared.log;
        self.unreadable.borrow_mut().log_once(&error, log);
    }

    /// Path of the engine's health check, if the configuration has one.
    fn health_path(&self) -> Option<String> {
        let catalog = self.shared.catalog.borrow();
        let service = catalog.layout()?.services.get(&self.shared.service)?;
        service.health_path.clone()
    }

    async fn read_list(&self) {
        let stream = self.decoder.stream(Topic::Upstreams);
        let timer = self.shared.timer.clone();
        let newest = match read_newest(Rc::clone(self.store), stream.to_owned(), timer).await {
            Ok(newest) => newest,
            Err(e) => {
                let fields = [field("stream", stream), field("error", &e)];
                return self.shared.log.emit(&events::STORE_LOST, &fields);
            }
        };
        let mut listed: Vec<(u64, Upstream)> = newest
            .records
            .iter()
            .filter_map(|r| Some((r.offset, self.decode(r)?)))
            .collect();
        let shared = self.shared;
        listed.retain(|(_, u)| shared.is_own_entry(u) && u.standing == Standing::Ready);
        let latest = listed.into_iter().max_by_key(|(offset, _)| *offset);
        if let Some((_, upstream)) = latest {
            shared.set_instance(&upstream.instance);
        }
    }

    fn decode(&self, record: &KeyedRecord) -> Option<Upstream> {
        match self.decoder.decode(Topic::Upstreams, record) {
            Ok(Change::Upstream(upstream)) => Some(upstream),
            Ok(_) => None,
            Err(e) => {
                let log = &self.shared.log;
                self.unreadable.borrow_mut().log_once(&e, log);
                None
            }
        }
    }
}
