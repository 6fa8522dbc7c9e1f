//! A request with its route and service.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use pumicecleat_catalog::{Catalog, RetryMode, Route, Standing, Upstream};
use pumicecleat_types::{Millis, ServiceId};

use super::authenticate::Caller;
use super::binding::Binding;
use super::hop_headers::strip_hop_headers;
use super::permit::Permit;
use super::send::MIN_TIME_LEFT_MS;
use super::spread;
use super::trace::RequestTrace;
use crate::repeats::{RepeatCause, RepeatReservation};
use crate::shared::Shared;
use crate::{AttemptAttributes, Priority, RequestAttributes};

/// Route of a request, and the service selected for it.
pub(super) struct Destination {
    pub(super) route: Route,
    pub(super) service: ServiceId,
}

/// A request with its route and service.
pub(super) struct Job {
    pub(super) shared: Rc<Shared>,
    head: Parts,
    body: Bytes,
    pub(super) attributes: RequestAttributes,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    pub(super) caller: Caller,
    pub(super) trace: RequestTrace,
    /// Instances that must not be tried again.
    pub(super) tried_instances: Vec<String>,
    /// Last event that was forwarded, after which another upstream resumes the stream.
    pub(super) last_event_id: Option<u64>,
    /// Software version that the request is bound to.
    pub(super) binding: Binding,
    /// Permission to send the request, if upstreams ended while it was in progress.
    pub(super) permit: Cell<Permit>,
    /// Time since which the caller has waited for the next event: the arrival, or the loss of an engine.
    pub(super) waiting_since: Millis,
    /// Time by which the request needs a final response.
    pub(super) deadline: Millis,
}

impl Job {
    pub(super) fn new(
        shared: &Rc<Shared>,
        mut head: Parts,
        body: Bytes,
        attributes: RequestAttributes,
        destination: Destination,
        caller: Caller,
        trace: RequestTrace,
    ) -> Self {
        let Destination { route, service } = destination;
        strip_hop_headers(&mut head.headers);
        let caller_timeout_ms = attributes.deadline_ms.unwrap_or(u64::MAX);
        let timeout_ms = caller_timeout_ms.min(route.timeout_ms);
        trace.set_service(&service);
        let arrived = trace.arrived;
        Self {
            shared: Rc::clone(shared),
            head,
            body,
            attributes,
            deadline: trace.arrived + Millis(timeout_ms),
            route,
            service,
            caller,
            trace,
            tried_instances: Vec::new(),
            last_event_id: None,
            binding: Binding::default(),
            permit: Cell::default(),
            waiting_since: arrived,
        }
    }

    /// Time left until the request needs a final response.
    pub(super) fn time_left(&self) -> Millis {
        self.deadline.since(self.shared.timer.now())
    }

    pub(super) fn time_left_duration(&self) -> Duration {
        Duration::from_millis(self.time_left().0)
    }

    /// Status of the response if it is unknown whether the request was executed.
    pub(super) fn unknown_status(&self) -> u16 {
        if self.time_left().0 < MIN_TIME_LEFT_MS {
            504
        } else {
            502
        }
    }

    /// Time for which the caller has waited for the next event.
    pub(super) fn waited(&self) -> Millis {
        self.shared.timer.now().since(self.waiting_since)
    }

    /// Priority of the request.
    pub(super) fn priority(&self) -> Priority {
        Priority {
            account: self.caller.account().and_then(|a| a.priority),
            route: self.route.priority,
        }
    }

    /// Account that agents are told, if accounts share engines fairly.
    pub(super) fn named_account(&self) -> Option<String> {
        let account = self.caller.account()?;
        self.shared.account_shares.then(|| account.name.clone())
    }

    pub(super) fn id(&self) -> &str {
        self.attributes.request_id.as_deref().unwrap_or_default()
    }

    /// Counts the first send of the request.
    pub(super) fn count_request(&self) {
        self.shared
            .repeats
            .record_request(&self.shared, &self.service);
    }

    /// Reserves a repeated send of the request, if the limit allows one.
    pub(super) fn reserve_repeat(&self, cause: RepeatCause) -> Option<RepeatReservation> {
        self.shared
            .repeats
            .reserve(&self.shared, &self.service, self.id(), cause)
    }

    /// Random time from `shortest` up to twice as long, so that callers refused together come back one by one.
    pub(super) fn spread(&self, shortest: Millis) -> Millis {
        spread(&self.shared, shortest)
    }

    /// Upstreams that accept requests and were not tried yet.
    pub(super) fn candidates(&self) -> Vec<Upstream> {
        let catalog = self.shared.catalog.borrow();
        self.candidates_in(&catalog).cloned().collect()
    }

    /// Same, borrowed from the catalog.
    pub(super) fn candidates_in<'a>(
        &'a self,
        catalog: &'a Catalog,
    ) -> impl Iterator<Item = &'a Upstream> {
        let ready = catalog.ready_upstreams(&self.service);
        let untried = ready.filter(|u| !self.tried_instances.contains(&u.instance));
        let admitted = untried.filter(|u| self.admits_software(u));
        admitted.filter(|u| self.shared.accepts_requests(u))
    }

    /// Whether the request may go to the software version of `upstream`. A stream that may be resumed begins only at
    /// a registered one.
    fn admits_software(&self, upstream: &Upstream) -> bool {
        let begins = self.binding == Binding::Unbound && self.route.retry == RetryMode::Resume;
        let register = &self.shared.software;
        let is_registered = || register.contains(&upstream.service, &upstream.software);
        self.binding.admits(&upstream.software) && (!begins || is_registered())
    }

    /// Whether `instance` still accepts requests.
    pub(super) fn is_ready(&self, instance: &str) -> bool {
        let catalog = self.shared.catalog.borrow();
        let listed = catalog.upstream(instance);
        listed.is_some_and(|u| u.standing == Standing::Ready && self.shared.accepts_requests(u))
    }

    /// Time until the first upstream accepts requests again, if all available upstreams have asked for no
    /// requests.
    pub(super) fn min_backoff(&self) -> Option<Millis> {
        let catalog = self.shared.catalog.borrow();
        let ready = catalog.ready_upstreams(&self.service);
        let backoffs: Option<Vec<Millis>> = ready
            .filter(|u| self.shared.is_staying(u))
            .map(|u| self.shared.backoff_left(u))
            .collect();
        backoffs?.into_iter().min()
    }

    /// Builds the request for one attempt.
    pub(super) fn build_request(&self, attributes: &AttemptAttributes<'_>) -> http::Request<Bytes> {
        let mut request = http::Request::new(self.body.clone());
        *request.method_mut() = self.head.method.clone();
        // Upstreams get path and query as the caller sent them.
        let path = self.head.uri.path_and_query();
        let uri = path.map(|p| http::Uri::from(p.clone()));
        *request.uri_mut() = uri.unwrap_or_default();
        let mut headers = self.head.headers.clone();
        self.shared
            .header_codec
            .encode_attempt(&mut headers, attributes);
        *request.headers_mut() = headers;
        request
    }
}
