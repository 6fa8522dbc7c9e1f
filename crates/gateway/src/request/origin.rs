//! Origin of a stream that its caller takes up again: found before the request is sent, or the request is refused.

use pumicecleat_catalog::RetryMode;
use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, StreamOrigin};

use super::binding::Binding;
use super::job::Job;
use super::refuse::Refusal;
use crate::origins::{self, Lookup};
use crate::software::only_software;

/// Time for which an origin is kept after the stream's time is over.
const ORIGIN_MARGIN: Millis = Millis(10_000);

/// Retry time returned if the origin is not found. A gateway that was cut off reaches agents again in this time,
/// if at all.
const UNKNOWN_RETRY_AFTER: Millis = Millis(500);

impl Job {
    /// Binds a request that goes on with an earlier stream to the software version that began it.
    pub(super) async fn bind_to_origin(&mut self) -> Result<(), Refusal> {
        let Some(resumption) = &self.attributes.resumption else {
            return Ok(());
        };
        if self.route.retry != RetryMode::Resume {
            return Ok(());
        }
        let asked_at = self.shared.timer.now();
        let named = resumption.origin.as_deref().filter(|o| !o.is_empty());
        let reason = match named {
            None => "origin_unnamed",
            Some(named) => match origins::find(&self.shared, named).await {
                Lookup::Found(origin, source) if self.serves(&origin) => {
                    self.bind_to(origin, &source);
                    return Ok(());
                }
                Lookup::Found(..) => return Err(self.refuse_resumption("origin_moved")),
                Lookup::Unknown => "origin_unknown",
                Lookup::Unreachable => "origin_unreachable",
            },
        };
        let software = match &self.route.services[..] {
            [one] if self.has_lasting_versions() => {
                only_software(&self.shared, &one.service, asked_at).await
            }
            _ => None,
        };
        let Some(software) = software else {
            return Err(self.refuse_resumption(reason));
        };
        let origin = StreamOrigin {
            request: named.unwrap_or_default().to_owned(),
            service: self.service.clone(),
            software,
            ..StreamOrigin::default()
        };
        self.bind_to(origin, "only version");
        Ok(())
    }

    /// Whether no engine of the service starts again under its name, so that each entry tells the version of the only
    /// process that it can stand for. Otherwise a stream may have begun at a version that its entry did not tell.
    fn has_lasting_versions(&self) -> bool {
        let catalog = self.shared.catalog.borrow();
        let mut upstreams = catalog.upstreams().filter(|u| u.service == self.service);
        upstreams.all(|u| u.born.is_none())
    }

    fn bind_to(&mut self, origin: StreamOrigin, source: &str) {
        self.log_origin(&origin, source);
        self.shared.meters.count_resumption(&self.service, "found");
        self.service = origin.service;
        self.trace.set_service(&self.service);
        self.binding = Binding::Version(origin.software);
    }

    /// Whether the route still leads to the service that began the stream.
    fn serves(&self, origin: &StreamOrigin) -> bool {
        let mut services = self.route.services.iter();
        services.any(|s| s.service == origin.service)
    }

    fn refuse_resumption(&self, reason: &'static str) -> Refusal {
        self.shared.meters.count_resumption(&self.service, reason);
        Refusal::new(reason, UNKNOWN_RETRY_AFTER)
    }

    fn log_origin(&self, origin: &StreamOrigin, source: &str) {
        let fields = [
            field("request", self.id()),
            field("origin", origin.request.as_str()),
            field("source", source),
            field("age_ms", origin.age_ms),
            field("software", origin.software.as_str()),
        ];
        self.shared.log.emit(&events::ORIGIN_FOUND, &fields);
    }

    /// Records the origin of a stream that began with this request.
    pub(super) fn record_origin(&self) {
        let Binding::Version(software) = &self.binding else {
            return;
        };
        self.shared.meters.count_stream(&self.service, software);
        if self.id().is_empty() {
            return;
        }
        let wait_ms = self.attributes.deadline_ms.unwrap_or_default();
        let ttl = Millis(wait_ms.max(self.route.timeout_ms)) + ORIGIN_MARGIN;
        let origin = StreamOrigin {
            request: self.id().to_owned(),
            service: self.service.clone(),
            software: software.clone(),
            age_ms: 0,
            ttl_ms: ttl.0,
        };
        origins::record(&self.shared, origin);
    }
}
