//! State shared by the parts of the gateway.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use pumicecleat_catalog::{
    Applied, CatalogListener, Marks, SharedCatalog, Standing, Topic, Upstream,
};
use pumicecleat_net::{Client, Timer};
use pumicecleat_ops::{Drain, Log, Readiness, events, field};
use pumicecleat_policy::{
    Admission, LimitChange, LimitSource, RateLimits, RepeatOptions, RepeatWindow,
};
use pumicecleat_types::{DataCentre, Millis, ServiceId, VmId};
use rand_chacha::ChaCha8Rng;

use crate::gateways::Gateways;
use crate::meters::{Meters, ServiceLabels};
use crate::own_word::OwnWords;
use crate::peers::Peers;
use crate::suspects::Guard;
use crate::table::Table;
use crate::{HeaderCodec, RateLimit};

/// Readiness condition: a configuration was read.
pub(crate) const LAYOUT: &str = "layout";

/// Readiness condition: no stop was requested.
pub(crate) const RUNNING: &str = "running";

/// Progress of a stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stopping {
    /// No stop was requested.
    #[default]
    No,
    /// Requests are accepted, and each response tells its caller to close the connection and use another
    /// gateway.
    Asked,
    /// Requests to model engines are refused, because their responses may not complete before the process
    /// ends.
    Closing,
}

/// State shared by the parts of the gateway.
pub(crate) struct Shared {
    pub(crate) timer: Timer,
    pub(crate) log: Log,
    pub(crate) vm: VmId,
    pub(crate) centre: DataCentre,
    pub(crate) agent_port: u16,
    pub(crate) header_codec: Rc<dyn HeaderCodec>,
    pub(crate) catalog: SharedCatalog,
    pub(crate) marks: Rc<Marks>,
    pub(crate) table: Rc<Table>,
    /// Client for upstreams.
    pub(crate) client: Client,
    /// Client for agents.
    pub(crate) agents: Client,
    /// Leaving and backoff, as reported by upstreams themselves.
    pub(crate) words: RefCell<OwnWords>,
    /// Rate limits announced by upstreams.
    pub(crate) limits: RefCell<RateLimits>,
    /// Requests in progress when upstreams ended.
    pub(crate) guard: Guard,
    /// Whether figures of engines are collected by relays.
    pub(crate) relayed: Cell<bool>,
    pub(crate) repeat: RepeatOptions,
    /// Median traits of the engines of each service.
    pub(crate) peers: RefCell<Peers>,
    /// Number of gateways that share the slack of repeats.
    pub(crate) gateways: RefCell<Gateways>,
    pub(crate) windows: RefCell<BTreeMap<ServiceId, RepeatWindow>>,
    pub(crate) rng: RefCell<ChaCha8Rng>,
    pub(crate) readiness: Readiness,
    pub(crate) drain: Drain,
    pub(crate) meters: Meters,
    /// Progress of a stop.
    pub(crate) stopping: Cell<Stopping>,
}

impl Shared {
    /// Counts the first send of a request to `service`.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        let now = self.timer.now();
        self.window(service, |w| w.record_request(now));
    }

    /// Counts a repeated send of a request to `service`, if the limit allows one; returns whether it does.
    pub(crate) fn may_repeat(&self, service: &ServiceId) -> bool {
        let now = self.timer.now();
        let allowed = self.window(service, |w| w.try_repeat(now));
        if allowed {
            let service = service.to_string();
            let labels = ServiceLabels { service };
            self.meters.repeats.get_or_create(&labels).inc();
        }
        allowed
    }

    fn window<T>(&self, service: &ServiceId, look: impl FnOnce(&mut RepeatWindow) -> T) -> T {
        let options = RepeatOptions {
            slack: self.repeat.slack / f64::from(self.gateways.borrow().parts()),
            ..self.repeat
        };
        let mut windows = self.windows.borrow_mut();
        let window = windows
            .entry(service.clone())
            .or_insert_with(|| RepeatWindow::new_ext(options));
        window.set_options(options);
        look(window)
    }

    /// Records that `upstream` reported in a response that it is leaving.
    pub(crate) fn said_leaving(&self, upstream: &Upstream) {
        let now = self.timer.now();
        if self.words.borrow_mut().leaves(upstream, now) {
            self.tell_leaving(&upstream.instance, "own answer");
        }
    }

    /// Applies and logs the rate limit, if any, of a response from `upstream` to a request sent at `sent_at`.
    pub(crate) fn note_limit(
        &self,
        upstream: &Upstream,
        limit: Option<RateLimit>,
        sent_at: Millis,
    ) {
        let instance = field("instance", upstream.instance.as_str());
        let rate = match limit {
            Some(RateLimit::Unreadable) => {
                if self.limits.borrow_mut().note_unreadable(&upstream.instance) {
                    self.log.emit(&events::LIMIT_UNREADABLE, &[instance]);
                }
                return;
            }
            Some(RateLimit::Rate(rate)) => Some(rate),
            None => None,
        };
        let now = self.timer.now();
        let mut limits = self.limits.borrow_mut();
        let change = limits.update(limit_source(upstream), rate, sent_at, now);
        self.meters.set_rate_limit(
            &upstream.instance,
            limits.rate(&upstream.instance, upstream.born),
        );
        match change {
            Some(LimitChange::Set { rate }) => {
                let rate = field("per_1000_s", rate);
                self.log.emit(&events::LIMIT_NAMED, &[instance, rate]);
            }
            Some(LimitChange::Ended { held }) => {
                let held = field("held_ms", held.0);
                self.log.emit(&events::LIMIT_ENDED, &[instance, held]);
            }
            None => {}
        }
    }

    /// Number of gateways that share the rate limit of an upstream equally.
    fn limit_sharers(&self) -> u32 {
        self.gateways.borrow().sharers()
    }

    /// Time until this gateway's next free slot under the rate limit of `upstream`.
    pub(crate) fn limit_wait(&self, upstream: &Upstream) -> Millis {
        let now = self.timer.now();
        let limits = self.limits.borrow();
        limits.wait(limit_source(upstream), self.limit_sharers(), now)
    }

    /// Reserves a slot in this gateway's share of the rate limit of `upstream`, if one is free within
    /// `max_wait`.
    pub(crate) fn reserve(&self, upstream: &Upstream, max_wait: Millis) -> Admission {
        let now = self.timer.now();
        let sharers = self.limit_sharers();
        let mut limits = self.limits.borrow_mut();
        let admission = limits.reserve(limit_source(upstream), sharers, max_wait, now);
        let outcome = match admission {
            Admission::Unlimited => return admission,
            Admission::Reserved(_) => "reserved",
            Admission::Refused(_) => "refused",
        };
        self.meters.count_limited(&upstream.service, outcome);
        admission
    }

    /// Records that the agent of `upstream` has no free slot under the rate limit for `wait`.
    pub(crate) fn note_exhausted(&self, upstream: &Upstream, wait: Millis) {
        let now = self.timer.now();
        let mut limits = self.limits.borrow_mut();
        limits.note_exhausted(&upstream.instance, now + wait, now);
    }

    /// Records that another instance answered at the address of `instance`.
    pub(crate) fn seen_replaced(&self, instance: &str) {
        let known = self
            .table
            .with(instance, |r| std::mem::replace(&mut r.replaced, true));
        if !known {
            self.tell_leaving(instance, "other instance");
        }
    }

    fn tell_leaving(&self, instance: &str, sign: &'static str) {
        self.guard.note_leaving(instance, true, self.timer.now());
        let fields = [field("instance", instance), field("sign", sign)];
        self.log.emit(&events::SEEN_LEAVING, &fields);
    }

    /// Whether `upstream` accepts requests, by its own reports and by what answered at its address.
    pub(crate) fn takes(&self, upstream: &Upstream) -> bool {
        self.stays(upstream) && self.rest_left(upstream).is_none()
    }

    /// Whether `upstream` was neither replaced nor has reported that it is leaving.
    pub(crate) fn stays(&self, upstream: &Upstream) -> bool {
        let replaced = self.table.with(&upstream.instance, |r| r.replaced);
        !replaced && !self.words.borrow().is_leaving(upstream)
    }

    /// Time for which `upstream` has asked this gateway to send no requests.
    pub(crate) fn rest_left(&self, upstream: &Upstream) -> Option<Millis> {
        let now = self.timer.now();
        self.words.borrow().rest_left(upstream, now)
    }

    /// Records that `upstream` rejected a request and asked for no requests during `requested`.
    pub(crate) fn said_rests(&self, upstream: &Upstream, told: Millis) {
        let now = self.timer.now();
        let held = self.words.borrow_mut().rests(upstream, told, now);
        let fields = [
            field("instance", upstream.instance.as_str()),
            field("told_ms", told.0),
            field("held_ms", held.0),
        ];
        self.log.emit(&events::UPSTREAM_RESTS, &fields);
    }
}

fn limit_source(upstream: &Upstream) -> LimitSource<'_> {
    LimitSource {
        instance: &upstream.instance,
        born: upstream.born,
    }
}

impl CatalogListener for Shared {
    fn on_applied(&self, applied: &Applied) {
        match applied {
            Applied::Layout { .. } => self.readiness.hold(LAYOUT),
            Applied::Upstream {
                instance,
                standing: Standing::Leaving,
            } => self.guard.note_leaving(instance, true, self.timer.now()),
            Applied::Gone { instance } => {
                self.guard.note_leaving(instance, false, self.timer.now());
                self.limits.borrow_mut().remove(instance);
                self.meters.set_rate_limit(instance, None);
                self.table.forget(instance);
            }
            Applied::Restarted { instance, .. } => self.table.forget(instance),
            _ => {}
        }
    }

    fn on_store_renewed(&self) {
        self.guard.keep_again();
    }

    fn report_list_age(&self, age: Millis) {
        let age = i64::try_from(age.0).unwrap_or(i64::MAX);
        self.meters.list_age.set(age);
    }

    fn follower_count(&self) -> u32 {
        self.gateways.borrow().count()
    }
}

/// Topics that a gateway follows.
pub(crate) const TOPICS: [Topic; 2] = [Topic::Operators, Topic::Upstreams];
