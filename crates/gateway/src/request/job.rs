//! A request with its route and service.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use pumicecleat_catalog::{Catalog, Route, Standing, Upstream};
use pumicecleat_types::{Millis, ServiceId};

use super::head::strip;
use super::permit::Permit;
use super::trail::Trail;
use crate::shared::Shared;
use crate::{AttemptAttributes, RequestAttributes};

/// A request with its route and service.
pub(super) struct Job {
    pub(super) shared: Rc<Shared>,
    head: Parts,
    body: Bytes,
    pub(super) attributes: RequestAttributes,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    pub(super) trail: Trail,
    /// Instances that must not be tried again.
    pub(super) tried: Vec<String>,
    /// Last event that was forwarded, after which another upstream resumes the stream.
    pub(super) after: Option<u64>,
    /// Permission to send the request, if upstreams ended while it was in progress.
    pub(super) permit: Cell<Permit>,
    /// Time by which the request needs a final response.
    pub(super) end: Millis,
}

impl Job {
    pub(super) fn new(
        shared: &Rc<Shared>,
        mut head: Parts,
        body: Vec<u8>,
        attributes: RequestAttributes,
        route: Route,
        service: ServiceId,
        trail: Trail,
    ) -> Self {
        strip(&mut head.headers);
        let limit = attributes.deadline_ms.unwrap_or(u64::MAX);
        let span = limit.min(route.timeout_ms);
        trail.set_service(&service);
        Self {
            shared: Rc::clone(shared),
            head,
            body: Bytes::from(body),
            attributes,
            end: trail.arrived + Millis(span),
            route,
            service,
            trail,
            tried: Vec::new(),
            after: None,
            permit: Cell::default(),
        }
    }

    /// Time left until the request needs a final response.
    pub(super) fn left(&self) -> Millis {
        self.end.since(self.shared.timer.now())
    }

    pub(super) fn left_span(&self) -> Duration {
        Duration::from_millis(self.left().0)
    }

    pub(super) fn id(&self) -> &str {
        self.attributes.request_id.as_deref().unwrap_or_default()
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
        let fresh = ready.filter(|u| !self.tried.contains(&u.instance));
        fresh.filter(|u| self.shared.takes(u))
    }

    /// Whether `instance` still accepts requests.
    pub(super) fn is_ready(&self, instance: &str) -> bool {
        let catalog = self.shared.catalog.borrow();
        let listed = catalog.upstream(instance);
        listed.is_some_and(|u| u.standing == Standing::Ready && self.shared.takes(u))
    }

    /// Time until the first upstream accepts requests again, if all available upstreams have asked for no
    /// requests.
    pub(super) fn resting(&self) -> Option<Millis> {
        let catalog = self.shared.catalog.borrow();
        let ready = catalog.ready_upstreams(&self.service);
        let rests: Option<Vec<Millis>> = ready
            .filter(|u| self.shared.stays(u))
            .map(|u| self.shared.rest_left(u))
            .collect();
        rests?.into_iter().min()
    }

    /// Builds the request for one attempt.
    pub(super) fn request(&self, outgoing: &AttemptAttributes<'_>) -> http::Request<Bytes> {
        let mut request = http::Request::new(self.body.clone());
        *request.method_mut() = self.head.method.clone();
        // Upstreams get path and query as the caller sent them.
        let path = self.head.uri.path_and_query();
        let uri = path.map(|p| http::Uri::from(p.clone()));
        *request.uri_mut() = uri.unwrap_or_default();
        let mut headers = self.head.headers.clone();
        self.shared
            .header_codec
            .encode_attempt(&mut headers, outgoing);
        *request.headers_mut() = headers;
        request
    }
}
