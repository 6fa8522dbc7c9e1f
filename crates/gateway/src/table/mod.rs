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
pub(crate) use record::{Asking, Record};

/// Upstreams by instance.
#[derive(Default)]
pub(crate) struct Table {
    records: RefCell<BTreeMap<String, Record>>,
}

/// Counts a request as in progress at an upstream until dropped.
pub(crate) struct UnderWay {
    table: Rc<Table>,
    instance: String,
    request: Option<String>,
    begun: Cell<bool>,
}

impl Table {
    /// Reads or updates the state of `instance`.
    pub(crate) fn with<T>(&self, instance: &str, look: impl FnOnce(&mut Record) -> T) -> T {
        let mut records = self.records.borrow_mut();
        if let Some(record) = records.get_mut(instance) {
            return look(record);
        }
        look(records.entry(instance.to_owned()).or_default())
    }

    pub(crate) fn forget(&self, instance: &str) {
        self.records.borrow_mut().remove(instance);
    }

    /// Counts a request as in progress. If its ID is given, the agent receives news of it.
    pub(crate) fn enter(self: &Rc<Self>, instance: &str, request: Option<&str>) -> UnderWay {
        self.with(instance, |r| r.own += 1);
        UnderWay {
            table: Rc::clone(self),
            instance: instance.to_owned(),
            request: request.map(ToOwned::to_owned),
            begun: Cell::new(false),
        }
    }

    /// Sets the load that an upstream reported of itself.
    pub(crate) fn told(&self, instance: &str, load: ReportedLoad, now: Millis) {
        self.with(instance, |r| r.load = Some((load, now)));
    }
}

impl UnderWay {
    /// Records that the response has begun.
    pub(crate) fn begun(&self) {
        if !self.begun.replace(true) {
            self.tell(false);
        }
    }

    fn tell(&self, ended: bool) {
        let Some(request) = self.request.clone() else {
            return;
        };
        let news = RunNews { request, ended };
        self.table.with(&self.instance, |r| r.tell(news));
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.tell(true);
        self.table
            .with(&self.instance, |r| r.own = r.own.saturating_sub(1));
    }
}
