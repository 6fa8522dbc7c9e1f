//! Startup and shutdown of a side.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use pumicecleat_config::model::PoolKind;
use pumicecleat_infra::{HttpLog, HttpVms, Log as PlatformLog, Peers};
use pumicecleat_ledger::LimitError;
use pumicecleat_net::{
    Client, ClientOptions, MemoryBudget, Protocol, Server, ServerOptions, Timer, Turns, bind,
    bind_exclusive,
};
use pumicecleat_ops::{
    Admin, Capacity, Drain, DrainOutcome, Log, Metrics, Readiness, Stop, events, field,
    operator_options,
};
use pumicecleat_types::ServiceId;
use pumicecleat_upstream::{HttpService, VllmEngine};
use snafu::{ResultExt, Snafu};

use crate::SideSettings;
use crate::config::Configuration;
use crate::dispatch::Dispatcher;
use crate::dump::Dumper;
use crate::entries::Entries;
use crate::keys::{KeyContext, Keys};
use crate::lengths::AnswerLengths;
use crate::metrics::SideMetrics;
use crate::orders::OrderRunner;
use crate::peer::PeerHandler;
use crate::report::Reporters;
use crate::state::{
    Backend, CONFIG_CONDITION, STAYING_CONDITION, State, UPSTREAM_CONDITION, Upstream, unix_time,
};
use crate::tune::to_millis;
use crate::watch::watch_upstream;

/// Timeout of short requests to the platform's services and to the upstream.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Pieces of streams under way that are forwarded between two polls for I/O events.
const PIECES_PER_TURN: usize = 16;
/// Interval between checks for the pool's declaration, and time that last reports to entries get
/// before the listener closes.
const SHORT_DELAY: Duration = Duration::from_millis(50);

/// Reason why a side could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be bound.
    #[snafu(display("step bind {purpose}, address {address}: {source}"))]
    Bind {
        /// What the address is used for.
        purpose: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The turns of streams could not be set up.
    #[snafu(display("step start turns: {source}"))]
    Turns {
        /// Cause.
        source: std::io::Error,
    },
}

/// A running side.
pub struct Side {
    state: Rc<State>,
    server: Server,
    address: SocketAddr,
    admin: SocketAddr,
    #[allow(dead_code, reason = "stays bound for the lifetime of the side")]
    slot: Option<TcpListener>,
}

impl Side {
    /// Starts a side on this thread's event loop.
    ///
    /// # Errors
    /// [`StartError`] if an address is in use by another process, or file descriptors run out.
    pub fn start(settings: SideSettings, timer: &Timer, log: &Log) -> Result<Self, StartError> {
        let slot = bind_slot(settings.slot)?;
        let (listener, address) = listen(settings.listen, "entries")?;
        let (admin_listener, admin) = listen(settings.common.admin, "admin")?;
        let turns = Turns::start(PIECES_PER_TURN).context(TurnsSnafu)?;
        let capacity = Capacity::new_ext(settings.memory_limit, &settings.common);
        let budget = capacity.budget(timer);
        let state = Rc::new(build_state(settings, address, timer, turns, log));
        state.metrics.registry.watch_budget(&budget);
        log_start(&state, address, admin);
        let handler = Rc::new(PeerHandler(Rc::clone(&state)));
        let default_options = ServerOptions::default();
        let options = ServerOptions {
            protocol: Protocol::Http2,
            connections: default_options.connections.min(capacity.connections()),
            ..default_options
        };
        let server = Server::with_budget(options, handler, &budget);
        serve(&server, listener);
        serve(&admin_server(&state, &budget), admin_listener);
        start_tasks(&state);
        Ok(Self {
            state,
            server,
            address,
            admin,
            slot,
        })
    }

    /// Address of the listener for entries.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the admin listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Whether all readiness conditions hold.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.readiness.is_ready()
    }

    /// Revision of the configuration in force, 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.config.revision()
    }

    /// Dump of the state, for debugging.
    #[must_use]
    pub fn dump(&self) -> crate::SideDump {
        self.state.dump()
    }

    /// Stops taking new work and waits until open requests have ended, the drain limit has passed
    /// or a second signal has arrived.
    pub async fn finish(&self, stop: &Stop) -> DrainOutcome {
        self.state.leave("signal");
        // Entries learn of it by a report before the listener closes.
        self.state.timer.sleep(SHORT_DELAY).await;
        let limit = self.state.settings.common.drain_limit;
        let state = &self.state;
        let end = state
            .drain
            .finish(stop, limit, &state.timer, &state.log)
            .await;
        self.server.stop();
        end
    }
}

fn bind_slot(slot: SocketAddr) -> Result<Option<TcpListener>, StartError> {
    if slot.port() == 0 {
        return Ok(None);
    }
    let listener = bind_exclusive(slot).context(BindSnafu {
        purpose: "slot",
        address: slot,
    })?;
    Ok(Some(listener))
}

fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let bind_listener = || {
        let listener = bind(address)?;
        let local = listener.local_addr()?;
        Ok((listener, local))
    };
    bind_listener().context(BindSnafu { purpose, address })
}

fn serve(server: &Server, listener: TcpListener) {
    let server = server.clone();
    monoio::spawn(async move { server.serve(listener).await });
}

fn admin_server(state: &Rc<State>, budget: &MemoryBudget) -> Server {
    let dumper = Rc::new(Dumper(Rc::clone(state)));
    let admin = Admin::new(&state.metrics.registry, &state.readiness, dumper);
    Server::with_budget(operator_options(), Rc::new(admin), budget)
}

fn build_state(
    settings: SideSettings,
    bound: SocketAddr,
    timer: &Timer,
    turns: Turns,
    log: &Log,
) -> State {
    let address = settings.advertise.unwrap_or(bound).to_string();
    let readiness = Readiness::new(
        &[CONFIG_CONDITION, UPSTREAM_CONDITION, STAYING_CONDITION],
        log,
    );
    readiness.set_met(STAYING_CONDITION);
    State {
        address,
        incarnation: unix_time().0,
        timer: timer.clone(),
        turns,
        client: Client::new_ext(ClientOptions::default(), timer),
        log: log.clone(),
        metrics: SideMetrics::new(&Metrics::new()),
        readiness,
        drain: Drain::new(),
        config: Configuration::default(),
        entries: Entries::new(&settings.entries, settings.common.vm.as_str()),
        reporters: Reporters::default(),
        answer_lengths: AnswerLengths::default(),
        leaving: Cell::new(false),
        healthy: Cell::new(false),
        backend: RefCell::default(),
        settings,
    }
}

fn log_start(state: &State, address: SocketAddr, admin: SocketAddr) {
    let common = &state.settings.common;
    let fields = [
        field("program", "pumicecleat-side"),
        field("version", env!("CARGO_PKG_VERSION")),
        field("vm", &common.vm),
        field("centre", &common.centre),
        field("region", &common.region),
    ];
    state.log.emit(&events::STARTED, &fields);
    for (purpose, at) in [("entries", address), ("admin", admin)] {
        let fields = [field("purpose", purpose), field("address", &at)];
        state.log.emit(&events::LISTENING, &fields);
    }
}

fn start_tasks(state: &Rc<State>) {
    monoio::spawn(Rc::clone(state).follow_config());
    monoio::spawn(Rc::clone(state).run_reporters());
    monoio::spawn(run_backend(Rc::clone(state)));
    if !state.settings.vms.is_empty() {
        let peers = Peers::new(&state.settings.vms);
        let vms = Rc::new(HttpVms::new(&state.client, peers, REQUEST_TIMEOUT));
        monoio::spawn(Rc::clone(state).watch_vms(vms));
    }
}

/// Waits for the pool's declaration, starts the backend for it and watches the upstream.
async fn run_backend(state: Rc<State>) {
    let pool = loop {
        if let Some(pool) = state.config.pool(state.pool()) {
            break pool;
        }
        state.timer.sleep(SHORT_DELAY).await;
    };
    let (dispatcher, outlets) = Dispatcher::new_ext(state.scheduler_options(&pool), &state.timer);
    let driver = dispatcher.clone();
    monoio::spawn(async move { driver.drive(outlets.changed).await });
    let upstream = match pool.kind {
        PoolKind::Model { .. } => {
            let peer = state.settings.upstream.to_string();
            let engine = Rc::new(VllmEngine::new(&state.client, &peer, REQUEST_TIMEOUT));
            let runner = OrderRunner {
                state: Rc::clone(&state),
                dispatcher: dispatcher.clone(),
                engine: engine.clone(),
            };
            monoio::spawn(runner.run(outlets.orders));
            Upstream::Model(engine)
        }
        PoolKind::Service { parts, .. } => match new_service_upstream(&state, parts) {
            Ok(upstream) => upstream,
            Err(e) => return state.readiness.set_unmet(CONFIG_CONDITION, &e.to_string()),
        },
    };
    let backend = Backend {
        dispatcher,
        upstream,
    };
    *state.backend.borrow_mut() = Some(backend.clone());
    watch_upstream(state, backend).await;
}

fn new_service_upstream(state: &State, parts: u32) -> Result<Upstream, LimitError> {
    let limits = state.key_limits()?;
    let peer = state.settings.upstream.to_string();
    let service = Rc::new(HttpService::new(
        &state.client,
        &peer,
        MAX_ANSWER_BYTES,
        REQUEST_TIMEOUT,
    ));
    let peers = Peers::new(&state.settings.log);
    let log: Rc<dyn PlatformLog> = Rc::new(HttpLog::new(&state.client, peers, REQUEST_TIMEOUT));
    let context = KeyContext {
        service: ServiceId::from(state.pool().as_str()),
        vm: state.vm().clone(),
        incarnation: state.incarnation,
        limits: Cell::new(limits),
        idle_timeout: to_millis(state.settings.key_idle.0),
        append_rate: state.settings.log_rate,
        log,
        events: state.log.clone(),
        timer: state.timer.clone(),
    };
    let keys = Keys::start(context, parts);
    Ok(Upstream::Service(service, keys))
}
