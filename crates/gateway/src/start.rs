//! Start and stop of a gateway.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{
    CONNECT_TIMEOUT, ConfirmSettings, FollowContext, FollowSettings, FollowSpans, LeaveBudget,
    Marks, RecordDecoder, confirm_layout, expire_lapsed, follow, watch_list_age,
};
use pumicecleat_infra::{KeyedLog, as_millis};
use pumicecleat_net::{Client, ClientOptions, Elapsed, MemoryBudget, Server, ServerOptions, Timer};
use pumicecleat_ops::{
    Admin, Capacity, Drain, Dump, ListenError, Log, Metrics, Readiness, Stop, events, field,
    listen, operator_options,
};
use pumicecleat_policy::{GatewayCount, RateLimits, RepeatOptions};
use pumicecleat_types::Millis;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::allowance::{self, Allowances};
use crate::exceeded::ExceededAccounts;
use crate::limit_pool::{self, LimitPool};
use crate::meters::Meters;
use crate::origins::Origins;
use crate::readiness::ReadinessHandler;
use crate::repeats::{Repeats, watch_stops};
use crate::request::CallerHandler;
use crate::revoke::{RevokeBudget, watch_keys};
use crate::shared::{KEYS, LAYOUT, RUNNING, Shared, TOPICS};
use crate::software::{SoftwareRegister, keep_register};
use crate::stop::StopState;
use crate::suspects::SuspectState;
use crate::table::UpstreamTable;
use crate::{GatewaySettings, HeaderCodec, agents, suspects, view};

/// Time for which an upstream or an agent may leave bytes without acknowledgement. Covers many round trips
/// with one or two lost packets, and is well below the time for which callers wait.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum number of idle connections per upstream. Half of an upstream's limit, shared by eight gateways.
const MAX_IDLE_CONNECTIONS: usize = 6;

/// Part of the grace after which idle connections are closed and no new streams are accepted. Each response
/// until then tells its caller to use another gateway. Earlier streams have five of eight seconds left; one
/// stream in twenty takes four seconds or more.
const CLOSE_PART: f64 = 0.34;

/// Part of the grace after which requests without a response get a final one.
const ANSWER_PART: f64 = 0.9;

/// Part of the grace after which the process ends in any case.
const END_PART: f64 = 0.93;

/// Interfaces to the deployment.
#[derive(Clone)]
pub struct GatewayParts {
    /// Log of the deployment.
    pub store: Rc<dyn KeyedLog>,
    /// Decoder of its records.
    pub decoder: Rc<dyn RecordDecoder>,
    /// Codec of its headers.
    pub header_codec: Rc<dyn HeaderCodec>,
}

/// A running gateway.
pub struct Gateway {
    shared: Rc<Shared>,
    callers: Server,
    grace: Duration,
}

struct StateDump {
    shared: Rc<Shared>,
}

impl Dump for StateDump {
    fn dump(&self) -> serde_json::Value {
        let catalog = self.shared.catalog.borrow();
        let now = self.shared.timer.now();
        let upstreams: Vec<serde_json::Value> = catalog
            .upstreams()
            .map(|u| {
                let accepts = self.shared.accepts_requests(u);
                self.shared.table.with(&u.instance, |r| {
                    serde_json::json!({
                        "instance": u.instance,
                        "service": u.service.as_str(),
                        "software": u.software.as_str(),
                        "own": r.own_requests,
                        "takes": accepts,
                        "limit_per_1000_s": self.shared.limits.borrow().rate(&u.instance, u.born),
                        "figures": r.figures.as_ref().map(|f| &f.0),
                        "figures_age_ms": r.figures.as_ref().map(|f| now.since(f.1).0),
                    })
                })
            })
            .collect();
        serde_json::json!({
            "layout": catalog.layout().map(|l| l.number),
            "upstreams": upstreams,
            "open": self.shared.drain.count(),
            "suspects": self.shared.suspects.table.borrow().len(),
        })
    }
}

impl Gateway {
    /// Starts a gateway on the current event loop.
    ///
    /// # Errors
    /// Returns [`ListenError`] if a listener can't be bound.
    pub fn start(
        settings: &GatewaySettings,
        parts: &GatewayParts,
        timer: &Timer,
        log: &Log,
    ) -> Result<Self, ListenError> {
        let metrics = Metrics::new();
        let capacity = Capacity::new_ext(settings.memory_limit, &settings.common);
        let budget = capacity.budget(timer);
        metrics.watch_budget(&budget);
        let shared = new_shared(settings, parts, &budget, log, &metrics);
        let state = Rc::new(StateDump {
            shared: Rc::clone(&shared),
        });
        let admin = Rc::new(Admin::new(&metrics, &shared.readiness, state));
        let operators = operator_options();
        listen(
            "admin",
            settings.common.admin,
            admin,
            operators,
            &budget,
            log,
        )?;
        let gate = Rc::new(ReadinessHandler::new(&shared));
        listen(
            "readiness",
            settings.ready_listen,
            gate,
            operators,
            &budget,
            log,
        )?;
        let caller_options = ServerOptions {
            connections: caller_connections(settings, capacity, log),
            fields: 100,
            ..ServerOptions::default()
        };
        let handler = Rc::new(CallerHandler::new(&shared));
        let callers = listen(
            "callers",
            settings.listen,
            handler,
            caller_options,
            &budget,
            log,
        )?;
        spawn_loops(&shared, settings, parts);
        shared.readiness.set_met(RUNNING);
        shared.readiness.set_met(KEYS);
        Ok(Self {
            shared,
            callers,
            grace: settings.grace.0,
        })
    }

    /// Runs until a stop is requested and the responses in progress have ended, or the grace is over.
    pub async fn run(self, stop: &Stop) {
        stop.requested().await;
        let shared = &self.shared;
        let stop_start = shared.timer.now();
        shared.readiness.set_unmet(RUNNING, "stop asked for");
        shared
            .stop
            .start(stop_start + as_millis(self.grace.mul_f64(ANSWER_PART)));
        let open = shared.drain.count();
        shared
            .log
            .emit(&events::DRAIN_STARTED, &[field("open", open)]);
        shared.timer.sleep(self.grace.mul_f64(CLOSE_PART)).await;
        shared.stop.close();
        self.callers.stop();
        let time_left = self.grace.mul_f64(ANSWER_PART - CLOSE_PART);
        if self.closed_within(time_left).await.is_err() {
            shared.stop.end();
            // Responses that have begun are cut after this, because the grace limits the stop.
            let time_left = self.grace.mul_f64(END_PART - ANSWER_PART);
            let _ = self.closed_within(time_left).await;
        }
        let took = shared.timer.now().since(stop_start).0;
        let cut = shared.drain.count();
        shared
            .log
            .emit(&events::DRAIN_FINISHED, &[field("took_ms", took)]);
        shared
            .log
            .emit_and_flush(&events::STOPPED, &[field("cut", cut)]);
    }
}

impl Gateway {
    /// Waits until all connections of callers have ended.
    async fn closed_within(&self, span: Duration) -> Result<(), Elapsed> {
        self.shared.timer.within(span, self.callers.closed()).await
    }
}

fn new_shared(
    settings: &GatewaySettings,
    parts: &GatewayParts,
    budget: &MemoryBudget,
    log: &Log,
    metrics: &Metrics,
) -> Rc<Shared> {
    let timer = budget.timer();
    let client_options = ClientOptions {
        connect_span: CONNECT_TIMEOUT,
        idle: MAX_IDLE_CONNECTIONS,
        ack_span: Some(ACK_TIMEOUT),
        abort: true,
        ..ClientOptions::default()
    };
    let seed = pumicecleat_policy::upstream_key(&settings.common.vm);
    let repeat_options = repeat_options(settings);
    Rc::new(Shared {
        timer: timer.clone(),
        log: log.clone(),
        vm: settings.common.vm.clone(),
        centre: settings.common.centre.clone(),
        agent_port: settings.agent_port,
        header_codec: Rc::clone(&parts.header_codec),
        catalog: Rc::default(),
        marks: Rc::new(Marks::new_ext(
            LeaveBudget::new(settings.leave_span.0).max_read_interval,
        )),
        confirmations: Rc::default(),
        max_key_age: max_key_age(settings),
        max_told_age: as_millis(RevokeBudget::new(settings.revoke_span.0).told_age),
        table: Rc::new(UpstreamTable::default()),
        budget: budget.clone(),
        upstream_client: Client::new_ext(client_options, timer),
        agent_client: Client::new_ext(client_options, timer),
        self_reports: RefCell::default(),
        limits: RefCell::new(RateLimits::new_ext(rand::random())),
        exceeded: ExceededAccounts::default(),
        account_shares: settings.account_shares,
        limit_pool: LimitPool::default(),
        allowances: Allowances::new(allowance::tolerance(settings)),
        software: SoftwareRegister::new(&parts.store),
        origins: Origins::default(),
        suspects: SuspectState::new(rand::random()),
        uses_relay: Cell::default(),
        relay: Cell::default(),
        service_traits: RefCell::default(),
        gateway_count: RefCell::new(GatewayCount::new(settings.gateways, repeat_options.window)),
        repeats: Repeats::new(repeat_options, timer),
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        readiness: Readiness::new(&[LAYOUT, RUNNING, KEYS], log),
        drain: Drain::new(),
        meters: Meters::new(metrics),
        stop: StopState::default(),
    })
}

/// Most connections of callers.
fn caller_connections(settings: &GatewaySettings, capacity: Capacity, log: &Log) -> usize {
    let (configured, most) = (settings.connections, capacity.forwarded_connections());
    if most < configured {
        let fields = [field("configured", configured), field("limit", most)];
        log.emit(&events::CONNECTIONS_LOWERED, &fields);
    }
    configured.min(most)
}

/// Limit of repeats, with the slack of all gateways.
fn repeat_options(settings: &GatewaySettings) -> RepeatOptions {
    RepeatOptions {
        window: as_millis(settings.repeat_window.0),
        transit: as_millis(CONNECT_TIMEOUT + ACK_TIMEOUT),
        ratio: settings.repeat_ratio,
        slack: settings.repeat_slack,
    }
}

/// Age of the configuration up to which keys are accepted; `None` for any age.
fn max_key_age(settings: &GatewaySettings) -> Option<Millis> {
    let span = settings.revoke_span.0;
    (!span.is_zero()).then(|| as_millis(RevokeBudget::new(span).max_age))
}

fn spawn_loops(shared: &Rc<Shared>, settings: &GatewaySettings, parts: &GatewayParts) {
    let context = FollowContext {
        catalog: Rc::clone(&shared.catalog),
        store: Rc::clone(&parts.store),
        decoder: Rc::clone(&parts.decoder),
        listener: shared.clone(),
        timer: shared.timer.clone(),
        log: shared.log.clone(),
        marks: Rc::clone(&shared.marks),
        confirmations: Rc::clone(&shared.confirmations),
    };
    let spans = FollowSpans {
        leave: settings.leave_span.0,
        apply: settings.apply_span.0,
        store_wait: settings.store_wait.0,
    };
    let seed = pumicecleat_policy::upstream_key(&settings.common.vm);
    for topic in TOPICS {
        let options = FollowSettings::within(&spans, topic, seed);
        monoio::spawn(follow(topic, context.clone(), options));
    }
    monoio::spawn(suspects::persist_suspects(
        Rc::clone(shared),
        Rc::clone(&parts.store),
    ));
    monoio::spawn(agents::sync_agents(Rc::clone(shared)));
    monoio::spawn(view::poll_views(Rc::clone(shared)));
    if shared.max_key_age.is_some() {
        let budget = RevokeBudget::new(settings.revoke_span.0);
        let settings = ConfirmSettings {
            interval: budget.interval,
            answer_timeout: budget.answer_timeout,
        };
        monoio::spawn(confirm_layout(context.clone(), settings));
        monoio::spawn(watch_keys(Rc::clone(shared)));
    }
    monoio::spawn(keep_register(Rc::clone(shared)));
    monoio::spawn(watch_stops(Rc::clone(shared)));
    monoio::spawn(allowance::stay_attached(Rc::clone(shared)));
    monoio::spawn(limit_pool::stay_attached(Rc::clone(shared)));
    monoio::spawn(watch_list_age(context.clone(), settings.leave_span.0));
    monoio::spawn(expire_lapsed(context));
}
