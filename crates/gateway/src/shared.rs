//! State shared by the parts of the gateway.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_catalog::{
    Applied, CatalogListener, Confirmations, Layout, Marks, SharedCatalog, Standing, Topic,
    Upstream,
};
use pumicecleat_net::{Client, MemoryBudget, Timer};
use pumicecleat_ops::{Drain, Log, Readiness, events, field};
use pumicecleat_policy::{Admission, GatewayCount, LimitChange, LimitSource, RateLimits};
use pumicecleat_types::{DataCentre, Millis, SoftwareVersion, VmId};
use rand_chacha::ChaCha8Rng;

use crate::allowance::Allowances;
use crate::exceeded::ExceededAccounts;
use crate::limit_pool::LimitPool;
use crate::meters::Meters;
use crate::origins::Origins;
use crate::repeats::Repeats;
use crate::self_reports::SelfReports;
use crate::service_traits::ServiceTraits;
use crate::software::SoftwareRegister;
use crate::stop::StopState;
use crate::suspects::SuspectState;
use crate::table::UpstreamTable;
use crate::{HeaderCodec, RateLimit};

/// Readiness condition: a configuration was read.
pub(crate) const LAYOUT: &str = "layout";

/// Readiness condition: no stop was requested.
pub(crate) const RUNNING: &str = "running";

/// Readiness condition: keys are accepted, if the configuration has accounts.
pub(crate) const KEYS: &str = "keys";

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
    pub(crate) confirmations: Rc<Confirmations>,
    /// Age of the configuration up to which keys are accepted; `None` for any age.
    pub(crate) max_key_age: Option<Millis>,
    /// Age of an agent's read of the configuration at which the agent reads again; 0 for no reads.
    pub(crate) max_told_age: Millis,
    pub(crate) table: Rc<UpstreamTable>,
    /// Memory that is held for callers.
    pub(crate) budget: MemoryBudget,
    /// Client for upstreams.
    pub(crate) upstream_client: Client,
    /// Client for agents.
    pub(crate) agent_client: Client,
    /// Leaving and backoff, as reported by upstreams themselves.
    pub(crate) self_reports: RefCell<SelfReports>,
    /// Rate limits announced by upstreams.
    pub(crate) limits: RefCell<RateLimits>,
    /// Whether agents are told the accounts of requests.
    pub(crate) account_shares: bool,
    /// Use of client accounts' allowances.
    pub(crate) allowances: Allowances,
    /// Slots of plain upstreams' rate limits.
    pub(crate) limit_pool: LimitPool,
    /// Accounts that exceed their allowances.
    pub(crate) exceeded: ExceededAccounts,
    /// Software versions that resumable streams may have begun at.
    pub(crate) software: SoftwareRegister,
    /// Where streams began.
    pub(crate) origins: Origins,
    /// Requests in progress when upstreams ended.
    pub(crate) suspects: SuspectState,
    /// Whether figures of engines are collected by relays.
    pub(crate) uses_relay: Cell<bool>,
    /// Agent that proposes engines, if one does.
    pub(crate) relay: Cell<Option<SocketAddr>>,
    /// Median traits of the engines of each service.
    pub(crate) service_traits: RefCell<ServiceTraits>,
    /// Number of gateways that share the slack of repeats.
    pub(crate) gateway_count: RefCell<GatewayCount>,
    /// Sends of requests beyond the first.
    pub(crate) repeats: Repeats,
    pub(crate) rng: RefCell<ChaCha8Rng>,
    pub(crate) readiness: Readiness,
    pub(crate) drain: Drain,
    pub(crate) meters: Meters,
    /// Progress of a stop.
    pub(crate) stop: StopState,
}

impl Shared {
    /// Whether the configuration is recent enough to accept keys.
    pub(crate) fn are_keys_current(&self) -> bool {
        let Some(max_age) = self.max_key_age else {
            return true;
        };
        let age = self.confirmations.age(self.timer.boot_now());
        age.is_some_and(|age| age <= max_age)
    }

    /// Longest body that is accepted, bytes: the configuration's limit, or what the memory for callers can hold.
    pub(crate) fn body_limit(&self, layout: &Layout) -> u64 {
        let longest = self.budget.limits().longest_body();
        layout.limits.max_body_bytes.min(longest)
    }

    fn check_body_limit(&self) {
        let Some(layout) = self.catalog.borrow().layout().cloned() else {
            return;
        };
        let (configured, limit) = (layout.limits.max_body_bytes, self.body_limit(&layout));
        if limit < configured {
            let fields = [field("configured", configured), field("limit", limit)];
            self.log.emit(&events::BODY_LIMIT_LOWERED, &fields);
        }
    }

    /// Whether the configuration has accounts.
    pub(crate) fn needs_keys(&self) -> bool {
        let catalog = self.catalog.borrow();
        catalog.layout().is_some_and(|l| l.accounts.is_some())
    }

    /// Records that an agent has recently been called by `count` gateways.
    pub(crate) fn record_gateways(&self, count: u32, now: Millis) {
        let mut gateways = self.gateway_count.borrow_mut();
        let before = gateways.count();
        gateways.record_report(count, now);
        let after = gateways.count();
        self.meters.gateways.set(i64::from(after));
        if after != before {
            let fields = [field("gateways", after), field("before", before)];
            self.log.emit(&events::GATEWAYS_COUNTED, &fields);
        }
    }

    /// Records that `upstream` reported in a response that it is leaving.
    pub(crate) fn note_leaving(&self, upstream: &Upstream) {
        let now = self.timer.now();
        if self.self_reports.borrow_mut().record_leaving(upstream, now) {
            self.log_leaving(&upstream.instance, "own answer");
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
    pub(crate) fn limit_sharers(&self) -> u32 {
        self.gateway_count.borrow().sharers()
    }

    /// Rate limit of `upstream`, in requests per 1,000 seconds, if it has one.
    pub(crate) fn rate_limit(&self, upstream: &Upstream) -> Option<u64> {
        self.limits.borrow().rate(&upstream.instance, upstream.born)
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
    pub(crate) fn note_replaced(&self, instance: &str) {
        let already_known = self
            .table
            .with(instance, |r| std::mem::replace(&mut r.is_replaced, true));
        if !already_known {
            self.log_leaving(instance, "other instance");
        }
    }

    fn log_leaving(&self, instance: &str, sign: &'static str) {
        self.suspects.note_leaving(instance, true, self.timer.now());
        let fields = [field("instance", instance), field("sign", sign)];
        self.log.emit(&events::SEEN_LEAVING, &fields);
    }

    /// Software version of the process that answers as `upstream`, whose agent tells `seen_start` as the time of its
    /// start. `None` if the entry may be of another start.
    pub(crate) fn software_of(
        &self,
        upstream: &Upstream,
        seen_start: Option<u64>,
    ) -> Option<SoftwareVersion> {
        let catalog = self.catalog.borrow();
        let listed = catalog.upstream(&upstream.instance)?;
        let is_same_start = listed.born.is_none_or(|born| seen_start == Some(born));
        is_same_start.then(|| listed.software.clone())
    }

    /// Whether `upstream` accepts requests, by its own reports and by what answered at its address.
    pub(crate) fn accepts_requests(&self, upstream: &Upstream) -> bool {
        self.is_staying(upstream) && self.backoff_left(upstream).is_none()
    }

    /// Whether `upstream` was neither replaced nor has reported that it is leaving.
    pub(crate) fn is_staying(&self, upstream: &Upstream) -> bool {
        let is_replaced = self.table.with(&upstream.instance, |r| r.is_replaced);
        !is_replaced && !self.self_reports.borrow().is_leaving(upstream)
    }

    /// Time for which `upstream` has asked this gateway to send no requests.
    pub(crate) fn backoff_left(&self, upstream: &Upstream) -> Option<Millis> {
        let now = self.timer.now();
        self.self_reports.borrow().backoff_left(upstream, now)
    }

    /// Records that `upstream` rejected a request and asked for no requests during `requested`.
    pub(crate) fn note_backoff(&self, upstream: &Upstream, requested: Millis) {
        let now = self.timer.now();
        let applied = self
            .self_reports
            .borrow_mut()
            .record_backoff(upstream, requested, now);
        let fields = [
            field("instance", upstream.instance.as_str()),
            field("told_ms", requested.0),
            field("held_ms", applied.0),
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
        if applied.is_change() {
            self.software.note_change();
        }
        match applied {
            Applied::Layout { .. } => {
                self.check_body_limit();
                self.readiness.set_met(LAYOUT);
            }
            Applied::Upstream {
                instance,
                standing: Standing::Leaving,
            } => self.suspects.note_leaving(instance, true, self.timer.now()),
            Applied::Gone { instance } => {
                self.suspects
                    .note_leaving(instance, false, self.timer.now());
                self.limits.borrow_mut().remove(instance);
                self.meters.set_rate_limit(instance, None);
                self.table.remove(instance);
            }
            Applied::Restarted { instance, .. } => self.table.remove(instance),
            _ => {}
        }
    }

    fn on_store_renewed(&self) {
        self.suspects.persist_again();
        self.software.write_again();
    }

    fn report_list_age(&self, age: Millis) {
        let age = i64::try_from(age.0).unwrap_or(i64::MAX);
        self.meters.list_age_ms.set(age);
    }

    fn follower_count(&self) -> u32 {
        self.gateway_count.borrow().count()
    }
}

/// Topics that a gateway follows.
pub(crate) const TOPICS: [Topic; 2] = [Topic::Operators, Topic::Upstreams];
