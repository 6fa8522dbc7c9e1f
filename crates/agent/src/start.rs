//! Start and stop of an agent.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{
    FollowContext, FollowSettings, FollowSpans, RecordDecoder, SharedCatalog, Topic, follow,
};
use pumicecleat_infra::KeyedLog;
use pumicecleat_net::{Client, ClientOptions, Server, ServerOptions, Timer};
use pumicecleat_ops::{
    Admin, Capacity, Dump, ListenError, Log, Metrics, Readiness, Stop, events, listen,
    operator_options,
};
use pumicecleat_policy::{AllowancePool, RateLimits, TurnOptions, TurnScheduler};

use crate::accounts::CountedAccounts;
use crate::confirm::confirm_for_gateways;
use crate::drive::drive;
use crate::handler::PeerHandler;
use crate::instance::find_instance;
use crate::meters::Meters;
use crate::relay::{RelayState, follow_for_gateways, run_relay};
use crate::shared::{ENGINE_CONDITION, Notify, Shared};
use crate::trial::SuspectState;
use crate::{AgentSettings, EngineClient};

/// Timeout for responses in progress after a stop is requested. Turns are short, and gateways can proceed
/// without one.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for connecting to another agent: more than a hundred times the one-way latency between data
/// centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which data sent to another agent may stay unacknowledged: many round trips, with one or two lost
/// packets.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum number of idle connections to each agent. Exchanges with an agent are sequential.
const MAX_IDLE_CONNECTIONS: usize = 1;

/// Interval between reads of the operators' records. Gateways name the adapter version with each request for a
/// turn, and the other settings that an agent uses rarely change. If a hundred agents read each record
/// immediately, they account for most of the calls to the store after a change.
const READ_INTERVAL: Duration = Duration::from_secs(20);

/// Maximum delay between attempts to reach the log. An agent may be seconds behind, because gateways name the
/// adapter versions and report when there are new records.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Services used by an agent.
#[derive(Clone)]
pub struct AgentContext {
    /// Log of the deployment.
    pub store: Rc<dyn KeyedLog>,
    /// Decoder of its records.
    pub decoder: Rc<dyn RecordDecoder>,
    /// Client of the engine.
    pub engine_client: Rc<dyn EngineClient>,
}

/// Fraction of the interval before the first slot of a rate limit. A full interval, because requests that got
/// their turn before the limit was known may still be in flight.
const FIRST_SLOT_PHASE: f64 = 1.0;

/// A running agent.
pub struct Agent {
    peer_server: Server,
    log: Log,
    timer: Timer,
}

struct StateDump {
    shared: Rc<Shared>,
}

impl Dump for StateDump {
    fn dump(&self) -> serde_json::Value {
        let catalog = self.shared.catalog.borrow();
        serde_json::json!({
        "layout": catalog.layout().map(|l| l.number),
        "engine": self.shared.figures(),
        "runs": self.shared.scheduler.borrow().running_requests(),
        })
    }
}

impl Agent {
    /// Starts an agent on the current event loop.
    ///
    /// # Errors
    /// Returns [`ListenError`] if a listener can't be bound.
    pub fn start(
        settings: &AgentSettings,
        context: &AgentContext,
        timer: &Timer,
        log: &Log,
    ) -> Result<Self, ListenError> {
        let metrics = Metrics::new();
        let capacity = Capacity::new_ext(settings.memory_limit, &settings.common);
        let budget = capacity.budget(timer);
        metrics.watch_budget(&budget);
        let shared = new_shared(settings, context, timer, log, &metrics);
        let dump = Rc::new(StateDump {
            shared: Rc::clone(&shared),
        });
        let admin = Admin::new(&metrics, &shared.readiness, dump);
        let address = settings.common.admin;
        let operators = operator_options();
        listen("admin", address, Rc::new(admin), operators, &budget, log)?;
        let default_options = ServerOptions::default();
        let peer_options = ServerOptions {
            connections: default_options.connections.min(capacity.connections()),
            ..default_options
        };
        let handler = Rc::new(PeerHandler::new(&shared));
        let peer_server = listen(
            "peers",
            settings.peer_listen,
            handler,
            peer_options,
            &budget,
            log,
        )?;
        spawn_loops(&shared, settings, context);
        Ok(Self {
            peer_server,
            log: log.clone(),
            timer: timer.clone(),
        })
    }

    /// Runs until a stop is requested.
    pub async fn run(self, stop: &Stop) {
        stop.requested().await;
        self.peer_server.stop();
        // Gateways whose connection is closed proceed without a turn.
        let _ = self
            .timer
            .within(STOP_TIMEOUT, self.peer_server.closed())
            .await;
        self.log.emit_and_flush(&events::STOPPED, &[]);
    }
}

/// Options of the scheduler from the settings; the others follow from the configuration.
fn turn_options(settings: &AgentSettings) -> TurnOptions {
    TurnOptions {
        min_loads: Some(settings.min_loads),
        pause_guard: settings.pause_guard,
        account_shares: settings.account_shares,
        ..TurnOptions::default()
    }
}

fn allowance_pool(settings: &AgentSettings) -> AllowancePool {
    if settings.return_times {
        AllowancePool::with_return_times()
    } else {
        AllowancePool::default()
    }
}

fn new_shared(
    settings: &AgentSettings,
    context: &AgentContext,
    timer: &Timer,
    log: &Log,
    metrics: &Metrics,
) -> Rc<Shared> {
    let client_options = ClientOptions {
        connect_span: CONNECT_TIMEOUT,
        idle: MAX_IDLE_CONNECTIONS,
        ack_span: Some(ACK_TIMEOUT),
        abort: true,
        ..ClientOptions::default()
    };
    let centre = settings.common.centre.clone();
    let relay = RelayState::new(centre, settings.peer_listen, rand::random());
    Rc::new(Shared {
        timer: timer.clone(),
        log: log.clone(),
        vm: settings.common.vm.clone(),
        service: settings.service.clone(),
        engine_address: settings.engine,
        engine_client: Rc::clone(&context.engine_client),
        catalog: SharedCatalog::default(),
        marks: Rc::default(),
        scheduler: RefCell::new(TurnScheduler::new_ext(turn_options(settings))),
        rate_limits: RefCell::new(RateLimits::new_ext(FIRST_SLOT_PHASE)),
        confirmations: Rc::default(),
        read_wanted: Notify::new(),
        wanted_age: Cell::default(),
        allowances: RefCell::new(allowance_pool(settings)),
        limit_pool: RefCell::default(),
        origins: RefCell::default(),
        counted_accounts: CountedAccounts::default(),
        waiters: RefCell::new(BTreeMap::new()),
        instance: RefCell::default(),
        engine_start_time_ms: Cell::new(None),
        engine_start_count: Cell::new(0),
        denied_instance: RefCell::default(),
        recent_gateways: RefCell::default(),
        readiness: Readiness::new(&[ENGINE_CONDITION], log),
        meters: Meters::new(metrics),
        wake: Notify::new(),
        agent_client: Client::new_ext(client_options, timer),
        suspects: SuspectState::new(rand::random()),
        relay: RefCell::new(relay),
        view_requested: Notify::new(),
        stream_marks: RefCell::default(),
        stream_catalog: RefCell::default(),
        streams_requested: Notify::new(),
        claimed_instance: RefCell::default(),
        instance_claimed: Notify::new(),
        rejected_claim: RefCell::default(),
        lookup_needed: Cell::new(false),
    })
}

fn spawn_loops(shared: &Rc<Shared>, settings: &AgentSettings, context: &AgentContext) {
    let options = FollowSettings {
        wait: settings.store_wait.0,
        detection_span: None,
        answer_timeout: None,
        pace: READ_INTERVAL,
        max_age: Duration::ZERO,
        hint_interval: READ_INTERVAL,
        max_hint_interval: READ_INTERVAL,
        max_backoff: MAX_BACKOFF,
        relies_on_relay: false,
        seed: pumicecleat_policy::upstream_key(&settings.common.vm),
    };
    let follow_context = FollowContext {
        catalog: Rc::clone(&shared.catalog),
        store: Rc::clone(&context.store),
        decoder: Rc::clone(&context.decoder),
        listener: shared.clone(),
        timer: shared.timer.clone(),
        log: shared.log.clone(),
        marks: Rc::clone(&shared.marks),
        confirmations: Rc::clone(&shared.confirmations),
    };
    monoio::spawn(confirm_for_gateways(
        Rc::clone(shared),
        follow_context.clone(),
    ));
    monoio::spawn(follow(Topic::Operators, follow_context.clone(), options));
    monoio::spawn(find_instance(
        Rc::clone(shared),
        Rc::clone(&context.store),
        Rc::clone(&context.decoder),
    ));
    let options = turn_options(settings);
    monoio::spawn(drive(Rc::clone(shared), settings.report_pause.0, options));
    monoio::spawn(run_relay(Rc::clone(shared)));
    let spans = FollowSpans {
        leave: settings.leave_span.0,
        apply: settings.apply_span.0,
        store_wait: settings.store_wait.0,
    };
    monoio::spawn(follow_for_gateways(
        Rc::clone(shared),
        follow_context,
        spans,
    ));
}
