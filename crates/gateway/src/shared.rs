//! State that the gateway's parts share.

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

/// Readiness condition of the configuration.
pub(crate) const LAYOUT: &str = "layout";

/// Readiness condition that ends with a stop.
pub(crate) const RUNNING: &str = "running";

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stopping {
    /// None was asked for.
    #[default]
    No,
    /// Asked for: requests are taken, and each answer tells its caller to go elsewhere.
    Asked,
    /// Answers that may last would be cut by the end: their requests are refused.
    Closing,
}

/// What the gateway's parts share.
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
    /// What upstreams said of themselves.
    pub(crate) words: RefCell<OwnWords>,
    /// Rate limits announced by upstreams.
    pub(crate) limits: RefCell<RateLimits>,
    /// Requests under which upstreams ended.
    pub(crate) guard: Guard,
    /// Whether relays gather what is known of engines.
    pub(crate) relayed: Cell<bool>,
    pub(crate) repeat: RepeatOptions,
    /// What the engines of a service were found to do.
    pub(crate) peers: RefCell<Peers>,
    /// Gateways that share the slack of repeats.
    pub(crate) gateways: RefCell<Gateways>,
    pub(crate) windows: RefCell<BTreeMap<ServiceId, RepeatWindow>>,
    pub(crate) rng: RefCell<ChaCha8Rng>,
    pub(crate) readiness: Readiness,
    pub(crate) drain: Drain,
    pub(crate) meters: Meters,
    /// How far a stop has come.
    pub(crate) stopping: Cell<Stopping>,
}

impl Shared {
    /// Counts the first send of a request to `service`.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        let now = self.timer.now();
        self.window(service, |w| w.record_request(now));
    }

    /// Takes one more send of a request to `service` from the bound, if it allows one.
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

    /// An upstream said in an answer that it leaves.
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

    /// Reserves a slot in this gateway's share of the rate limit of `upstream`, if one is free within `max_wait`.
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

    /// Another upstream answered in the place of `instance`.
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

    /// Whether `upstream` takes requests, by all that was heard from itself and in its place.
    pub(crate) fn takes(&self, upstream: &Upstream) -> bool {
        self.stays(upstream) && self.rest_left(upstream).is_none()
    }

    /// Whether `upstream` is there and does not leave, by the same.
    pub(crate) fn stays(&self, upstream: &Upstream) -> bool {
        let replaced = self.table.with(&upstream.instance, |r| r.replaced);
        !replaced && !self.words.borrow().is_leaving(upstream)
    }

    /// Time for which `upstream` wants nothing from this gateway, by its own word.
    pub(crate) fn rest_left(&self, upstream: &Upstream) -> Option<Millis> {
        let now = self.timer.now();
        self.words.borrow().rest_left(upstream, now)
    }

    /// `upstream` turned a request away and wants nothing for `told`.
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
