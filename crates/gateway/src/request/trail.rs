//! Progress of one request, and the log line at its end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pumicecleat_catalog::Upstream;
use pumicecleat_ops::{DrainGuard, events, field};
use pumicecleat_types::{Fingerprint, Millis, RequestId, ServiceId};

use crate::RequestAttributes;
use crate::meters::{OutcomeLabels, ServiceLabels};
use crate::shared::Shared;
use crate::suspects;

/// Logs the end of a request once. If dropped before, it logs that the caller disconnected.
pub(super) struct Trail {
    pub(super) shared: Rc<Shared>,
    pub(super) request: String,
    route: String,
    /// Identifies repeated attempts; `None` until the body was read.
    fingerprint: Cell<Option<Fingerprint>>,
    layout: u64,
    pub(super) arrived: Millis,
    service: RefCell<String>,
    instance: RefCell<String>,
    /// The attempt is sent to an upstream where no other suspect is in progress.
    alone: Cell<bool>,
    /// Upstream of the current attempt.
    upstream: RefCell<Option<Upstream>>,
    attempts: Cell<u32>,
    /// Age of the list of upstreams at the start of the latest attempt; 0 if unknown or before any attempt.
    list_age: Cell<Millis>,
    /// Time spent waiting for turns.
    turn: Cell<Millis>,
    first: Cell<Option<Millis>>,
    told: Cell<bool>,
    _open: DrainGuard,
}

impl Trail {
    pub(super) fn new(
        shared: &Rc<Shared>,
        attributes: &RequestAttributes,
        route: &str,
        layout: u64,
        arrived: Millis,
    ) -> Self {
        let request = attributes.request_id.clone().unwrap_or_default();
        let id = RequestId::from(request.as_str());
        Self {
            shared: Rc::clone(shared),
            request,
            route: route.to_owned(),
            fingerprint: Cell::new(None),
            layout,
            arrived,
            service: RefCell::default(),
            instance: RefCell::default(),
            alone: Cell::default(),
            upstream: RefCell::default(),
            attempts: Cell::new(0),
            list_age: Cell::default(),
            turn: Cell::default(),
            first: Cell::new(None),
            told: Cell::new(false),
            _open: shared.drain.enter(&id),
        }
    }

    pub(super) fn set_fingerprint(&self, fingerprint: Fingerprint) {
        self.fingerprint.set(Some(fingerprint));
    }

    pub(super) fn fingerprint(&self) -> Fingerprint {
        self.fingerprint.get().unwrap_or_default()
    }

    /// Fingerprint as text; empty until the body was read.
    fn fingerprint_text(&self) -> String {
        self.fingerprint
            .get()
            .map(|f| f.to_string())
            .unwrap_or_default()
    }

    pub(super) fn set_service(&self, service: &ServiceId) {
        self.service.replace(service.to_string());
    }

    /// Records that an attempt is sent to `upstream`.
    pub(super) fn attempt(&self, upstream: &Upstream) {
        self.attempts.set(self.attempts.get() + 1);
        let age = self.shared.marks.list_age(self.shared.timer.now());
        self.list_age.set(age.unwrap_or_default());
        self.instance.replace(upstream.instance.clone());
        self.upstream.replace(Some(upstream.clone()));
    }

    /// Records that the request is sent to an upstream where no other suspect is in progress.
    pub(super) fn set_alone(&self) {
        self.alone.set(true);
    }

    /// Records that the connection of the current attempt was lost.
    pub(super) fn broke(&self) {
        if let (Some(fingerprint), Some(upstream)) =
            (self.fingerprint.get(), &*self.upstream.borrow())
        {
            suspects::broke(&self.shared, fingerprint, self.alone.get(), upstream);
        }
    }

    /// Records that an upstream served the request.
    pub(super) fn served(&self) {
        suspects::served(&self.shared, &self.fingerprint());
    }

    /// Adds the time spent waiting for a turn.
    pub(super) fn waited(&self, waited: Millis) {
        self.turn.set(self.turn.get() + waited);
    }

    /// Records that the first byte of the response was forwarded.
    pub(super) fn first(&self) {
        if self.first.get().is_some() {
            return;
        }
        let age = self.age();
        self.first.set(Some(age));
        let service = self.service.borrow().clone();
        let labels = ServiceLabels { service };
        let meter = self.shared.meters.first.get_or_create(&labels);
        meter.observe(age.as_secs());
    }

    pub(super) fn age(&self) -> Millis {
        self.shared.timer.now().since(self.arrived)
    }

    /// Logs that an upstream's response was forwarded.
    pub(super) fn passed_on(&self, status: u16, whole: bool) {
        self.count(if whole { "passed_on" } else { "broken" });
        let first = self.first.get().unwrap_or_else(|| self.age());
        let instance = self.instance.borrow();
        let fingerprint = self.fingerprint_text();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("route", self.route.as_str()),
            field("instance", instance.as_str()),
            field("status", status),
            field("attempts", self.attempts.get()),
            field("turn_ms", self.turn.get().0),
            field("first_ms", first.0),
            field("total_ms", self.age().0),
            field("list_ms", self.list_age.get().0),
            field("layout", self.layout),
            field("whole", whole),
        ];
        self.shared.log.emit(&events::PASSED_ON, &fields);
    }

    /// Logs that the request was refused without having been executed.
    pub(super) fn turned_down(&self, status: u16, reason: &str, retry: Millis) {
        self.count("turned_down");
        let fingerprint = self.fingerprint_text();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("route", self.route.as_str()),
            field("reason", reason),
            field("status", status),
            field("retry_ms", retry.0),
            field("attempts", self.attempts.get()),
            field("age_ms", self.age().0),
            field("layout", self.layout),
        ];
        self.shared.log.emit(&events::TURNED_DOWN, &fields);
    }

    /// Logs that the request failed and may have been executed.
    pub(super) fn unsettled(&self, status: u16, reason: &str) {
        self.count("unsettled");
        let instance = self.instance.borrow();
        let fingerprint = self.fingerprint_text();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("route", self.route.as_str()),
            field("instance", instance.as_str()),
            field("reason", reason),
            field("status", status),
            field("attempts", self.attempts.get()),
            field("age_ms", self.age().0),
            field("list_ms", self.list_age.get().0),
            field("layout", self.layout),
        ];
        self.shared.log.emit(&events::UNSETTLED, &fields);
    }

    /// Logs that an attempt provided no response to forward.
    pub(super) fn lost(&self, step: &str, ran: bool, again: bool, error: &str) {
        let instance = self.instance.borrow();
        let fingerprint = self.fingerprint_text();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("instance", instance.as_str()),
            field("step", step),
            field("ran", ran),
            field("age_ms", self.age().0),
            field("list_ms", self.list_age.get().0),
            field("again", again),
            field("error", error),
        ];
        self.shared.log.emit(&events::ATTEMPT_LOST, &fields);
    }

    fn count(&self, outcome: &'static str) {
        self.told.set(true);
        let service = self.service.borrow().clone();
        let labels = OutcomeLabels { service, outcome };
        self.shared.meters.requests.get_or_create(&labels).inc();
    }
}

impl Drop for Trail {
    fn drop(&mut self) {
        if self.told.get() {
            return;
        }
        self.count("caller_left");
        let instance = self.instance.borrow();
        let fingerprint = self.fingerprint_text();
        let fields = [
            field("request", self.request.as_str()),
            field("fingerprint", fingerprint.as_str()),
            field("route", self.route.as_str()),
            field("instance", instance.as_str()),
            field("age_ms", self.age().0),
        ];
        self.shared.log.emit(&events::CALLER_LEFT, &fields);
    }
}
