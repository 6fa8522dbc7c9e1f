//! State of each upstream, in addition to the list.
//!
//! All of it is soft state: own requests in progress, response times, failures, and the figures that agents
//! report of their engines. It starts empty and is removed with the instance.

mod record;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use pumicecleat_types::{Millis, RunNews};

use crate::ReportedLoad;
pub(crate) use record::{SILENCE_TIMEOUT, UnreportedAsk, UpstreamRecord};

/// Upstreams by instance.
#[derive(Default)]
pub(crate) struct UpstreamTable {
    records: RefCell<BTreeMap<String, UpstreamRecord>>,
}

/// Counts a request as in progress at an upstream until dropped.
pub(crate) struct InFlight {
    table: Rc<UpstreamTable>,
    instance: String,
    request: Option<String>,
    begun: Cell<bool>,
}

impl UpstreamTable {
    /// Reads or updates the state of `instance`.
    pub(crate) fn with<T>(&self, instance: &str, f: impl FnOnce(&mut UpstreamRecord) -> T) -> T {
        let mut records = self.records.borrow_mut();
        if let Some(record) = records.get_mut(instance) {
            return f(record);
        }
        f(records.entry(instance.to_owned()).or_default())
    }

    /// Instances that this gateway does not use for now, by its own observation.
    pub(crate) fn unsuitable(&self, now: Millis) -> Vec<String> {
        let records = self.records.borrow();
        let unsuitable = records.iter().filter(|(_, r)| r.is_unsuitable(now));
        unsuitable.map(|(instance, _)| instance.clone()).collect()
    }

    pub(crate) fn remove(&self, instance: &str) {
        self.records.borrow_mut().remove(instance);
    }

    /// Counts a request as in progress. If its ID is given, the agent receives news of it.
    pub(crate) fn track(self: &Rc<Self>, instance: &str, request: Option<&str>) -> InFlight {
        self.with(instance, |r| r.own_requests += 1);
        InFlight {
            table: Rc::clone(self),
            instance: instance.to_owned(),
            request: request.map(ToOwned::to_owned),
            begun: Cell::new(false),
        }
    }

    /// Sets the load that an upstream reported of itself.
    pub(crate) fn set_load(&self, instance: &str, load: ReportedLoad, now: Millis) {
        self.with(instance, |r| r.reported_load = Some((load, now)));
    }
}

impl InFlight {
    /// Records that the response has begun.
    pub(crate) fn mark_begun(&self) {
        if !self.begun.replace(true) {
            self.queue_news(false);
        }
    }

    fn queue_news(&self, ended: bool) {
        let Some(request) = self.request.clone() else {
            return;
        };
        let news = RunNews { request, ended };
        self.table.with(&self.instance, |r| r.push_news(news));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.queue_news(true);
        self.table.with(&self.instance, |r| {
            r.own_requests = r.own_requests.saturating_sub(1);
        });
    }
}
