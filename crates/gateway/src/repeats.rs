//! Sends of requests beyond the first: counts them by cause, and keeps them within their limit.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::Timer;
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{RepeatLimit, RepeatOptions};
use pumicecleat_types::{Millis, ServiceId};

use crate::meters::CauseLabels;
use crate::shared::Shared;

/// Interval between checks for services whose repeats are no longer stopped.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a stopped repeat after which a service is within its limit again.
const KEPT_TIME: Millis = Millis(5_000);

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RepeatCause {
    /// The upstream reported that it did not execute the request.
    Refused,
    /// The upstream responded with a failure.
    Failed,
    /// No complete response arrived.
    Lost,
    /// The stream broke after its first event.
    Resumed,
}

impl RepeatCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Resumed => "resumed",
        }
    }

    fn labels(self, service: &ServiceId) -> CauseLabels {
        CauseLabels {
            service: service.to_string(),
            cause: self.as_str(),
        }
    }
}

/// Repeats of each service.
pub(crate) struct Repeats {
    options: RepeatOptions,
    /// Time from which the process gets credit.
    started_at: Millis,
    services: RefCell<BTreeMap<ServiceId, ServiceRepeats>>,
}

struct ServiceRepeats {
    limit: RepeatLimit,
    stop: Option<Stop>,
}

/// Repeats that the limit stopped since it was reached.
struct Stop {
    since: Millis,
    last: Millis,
    count: u64,
}

impl Repeats {
    /// `options` holds the slack of all gateways together.
    pub(crate) fn new(options: RepeatOptions, timer: &Timer) -> Self {
        Self {
            options,
            started_at: window_time(timer),
            services: RefCell::default(),
        }
    }

    /// Counts the first send of a request to `service`.
    pub(crate) fn record_request(&self, shared: &Shared, service: &ServiceId) {
        let now = window_time(&shared.timer);
        self.with_service(shared, service, |s| s.limit.record_request(now));
    }

    /// Reserves a repeated send of `request` to `service`, if the limit allows one.
    pub(crate) fn reserve(
        &self,
        shared: &Rc<Shared>,
        service: &ServiceId,
        request: &str,
        cause: RepeatCause,
    ) -> Option<RepeatReservation> {
        let now = window_time(&shared.timer);
        let is_allowed = self.with_service(shared, service, |s| {
            let is_allowed = s.limit.try_reserve(now);
            if !is_allowed {
                s.record_stop(shared, service);
            }
            is_allowed
        });
        if !is_allowed {
            let counters = &shared.meters.stopped_repeats;
            counters.get_or_create(&cause.labels(service)).inc();
            return None;
        }
        Some(RepeatReservation {
            shared: Rc::clone(shared),
            service: service.clone(),
            request: request.to_owned(),
            cause,
            is_spent: Cell::default(),
        })
    }

    fn with_service<T>(
        &self,
        shared: &Shared,
        service: &ServiceId,
        f: impl FnOnce(&mut ServiceRepeats) -> T,
    ) -> T {
        let parts = shared.gateway_count.borrow().slack_shares();
        let options = RepeatOptions {
            slack: self.options.slack / f64::from(parts),
            ..self.options
        };
        let mut services = self.services.borrow_mut();
        let state = services
            .entry(service.clone())
            .or_insert_with(|| ServiceRepeats {
                limit: RepeatLimit::new_ext(options, self.started_at),
                stop: None,
            });
        state.limit.set_options(options);
        f(state)
    }

    /// Logs the services whose repeats are within their limit again.
    fn expire_stops(&self, shared: &Shared) {
        let now = shared.timer.now();
        for (service, state) in self.services.borrow_mut().iter_mut() {
            let ended = state.stop.take_if(|stop| now.since(stop.last) >= KEPT_TIME);
            let Some(stop) = ended else {
                continue;
            };
            let fields = [
                field("service", service.as_str()),
                field("stopped_ms", stop.last.since(stop.since).0),
                field("stopped", stop.count),
            ];
            shared.log.emit(&events::REPEATS_KEPT, &fields);
        }
    }
}

impl ServiceRepeats {
    fn record_stop(&mut self, shared: &Shared, service: &ServiceId) {
        let now = shared.timer.now();
        if let Some(stop) = &mut self.stop {
            stop.last = now;
            stop.count += 1;
            return;
        }
        self.stop = Some(Stop {
            since: now,
            last: now,
            count: 1,
        });
        let fields = [
            field("service", service.as_str()),
            field("gateways", shared.gateway_count.borrow().count()),
        ];
        shared.log.emit(&events::REPEATS_STOPPED, &fields);
    }
}

/// Credit that is reserved for one repeated send, and returned if dropped before it is spent.
pub(crate) struct RepeatReservation {
    shared: Rc<Shared>,
    service: ServiceId,
    request: String,
    cause: RepeatCause,
    is_spent: Cell<bool>,
}

impl RepeatReservation {
    /// Spends the credit: the request is sent once more.
    pub(crate) fn spend(&self) {
        if self.is_spent.replace(true) {
            return;
        }
        let shared = &self.shared;
        let remaining = shared.repeats.with_service(shared, &self.service, |s| {
            s.limit.spend();
            s.limit.remaining()
        });
        let counters = &shared.meters.repeats;
        let labels = self.cause.labels(&self.service);
        counters.get_or_create(&labels).inc();
        let fields = [
            field("request", self.request.as_str()),
            field("service", self.service.as_str()),
            field("cause", self.cause.as_str()),
            field("remaining", remaining),
            field("gateways", shared.gateway_count.borrow().count()),
        ];
        shared.log.emit(&events::REQUEST_REPEATED, &fields);
    }
}

impl Drop for RepeatReservation {
    fn drop(&mut self) {
        if self.is_spent.get() {
            return;
        }
        let shared = &self.shared;
        let now = window_time(&shared.timer);
        let repeats = &shared.repeats;
        repeats.with_service(shared, &self.service, |s| s.limit.release(now));
    }
}

/// Time on a clock that also counts the time in which the VM was suspended, as the windows of others do.
fn window_time(timer: &Timer) -> Millis {
    Millis(timer.boot_now().0)
}

/// Logs when repeats of a service are no longer stopped; never returns.
pub(crate) async fn watch_stops(shared: Rc<Shared>) {
    loop {
        shared.timer.sleep(CHECK_INTERVAL).await;
        shared.repeats.expire_stops(&shared);
    }
}
