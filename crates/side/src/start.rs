//! Start and end of a side.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use pumicecleat_config::model::PoolKind;
use pumicecleat_infra::{HttpLog, HttpVms, Log as PlatformLog, Peers};
use pumicecleat_ledger::LimitError;
use pumicecleat_net::{
    Client, ClientOptions, Protocol, Server, ServerOptions, Timer, Turns, bind, bind_exclusive,
};
use pumicecleat_ops::{Admin, Drain, DrainEnd, Log, Metrics, Readiness, Stop, events, field};
use pumicecleat_types::ServiceId;
use pumicecleat_upstream::{HttpService, VllmEngine};
use snafu::{ResultExt, Snafu};

use crate::SideSettings;
use crate::config::Configuration;
use crate::dispatch::Dispatcher;
use crate::dump::Dumper;
use crate::entries::Entries;
use crate::keys::{KeyContext, Keys};
use crate::lengths::Lengths;
use crate::metrics::SideMetrics;
use crate::orders::OrderRunner;
use crate::peer::PeerHandler;
use crate::report::Reporters;
use crate::state::{CONFIG, STAYING, State, UPSTREAM, Upstream, Work, wall_clock};
use crate::tune::millis;
use crate::watch::watch;

/// Time that the platform's services and the upstream have for a short answer.
const ANSWER_SPAN: Duration = Duration::from_secs(2);
/// Longest answer of a plain service, bytes.
const ANSWER_LIMIT: u64 = 16 << 20;
/// Pieces of streams under way that pass before the poller is asked again.
const TURN: usize = 16;
/// Time between two looks for the pool's declaration.
const PAUSE: Duration = Duration::from_millis(50);

/// A side that could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Address can't be bound.
    #[snafu(display("step bind {purpose}, address {address}: {source}"))]
    Bind {
        /// Use of the address.
        purpose: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// No turns for streams.
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
    #[allow(dead_code, reason = "held for as long as the side lives")]
    slot: Option<TcpListener>,
}

impl Side {
    /// Starts a side on this thread's loop.
    ///
    /// # Errors
    /// [`StartError`] if an address is held by another process, or descriptors are lacking.
    pub fn start(settings: SideSettings, timer: &Timer, log: &Log) -> Result<Self, StartError> {
        let slot = hold_slot(settings.slot)?;
        let (listener, address) = listen(settings.listen, "entries")?;
        let (admin_listener, admin) = listen(settings.common.admin, "admin")?;
        let turns = Turns::start(TURN).context(TurnsSnafu)?;
        let state = Rc::new(build_state(settings, address, timer, turns, log));
        log_start(&state, address, admin);
        let handler = Rc::new(PeerHandler(Rc::clone(&state)));
        let options = ServerOptions {
            protocol: Protocol::Http2,
            ..ServerOptions::default()
        };
        let server = Server::new_ext(options, handler, timer);
        serve(&server, listener);
        serve(&admin_server(&state), admin_listener);
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

    /// Whether it takes work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.readiness.is_ready()
    }

    /// Revision of the configuration in force, 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.config.revision()
    }

    /// State for people.
    #[must_use]
    pub fn dump(&self) -> crate::SideDump {
        self.state.dump()
    }

    /// Takes no new work, and waits for the end of what is under way: for the drain limit at most,
    /// or until a second signal.
    pub async fn finish(&self, stop: &Stop) -> DrainEnd {
        self.state.leave("signal");
        // Entries hear of it before the listener goes.
        self.state.timer.sleep(PAUSE).await;
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

fn hold_slot(slot: SocketAddr) -> Result<Option<TcpListener>, StartError> {
    if slot.port() == 0 {
        return Ok(None);
    }
    let held = bind_exclusive(slot).context(BindSnafu {
        purpose: "slot",
        address: slot,
    })?;
    Ok(Some(held))
}

fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let bound = || {
        let listener = bind(address)?;
        let local = listener.local_addr()?;
        Ok((listener, local))
    };
    bound().context(BindSnafu { purpose, address })
}

fn serve(server: &Server, listener: TcpListener) {
    let server = server.clone();
    monoio::spawn(async move { server.serve(listener).await });
}

fn admin_server(state: &Rc<State>) -> Server {
    let dumper = Rc::new(Dumper(Rc::clone(state)));
    let admin = Admin::new(&state.metrics.registry, &state.readiness, dumper);
    Server::new_ext(ServerOptions::default(), Rc::new(admin), &state.timer)
}

fn build_state(
    settings: SideSettings,
    bound: SocketAddr,
    timer: &Timer,
    turns: Turns,
    log: &Log,
) -> State {
    let address = settings.advertise.unwrap_or(bound).to_string();
    let readiness = Readiness::new(&[CONFIG, UPSTREAM, STAYING], log);
    readiness.hold(STAYING);
    State {
        address,
        incarnation: wall_clock().0,
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
        lengths: Lengths::default(),
        leaving: Cell::new(false),
        healthy: Cell::new(false),
        work: RefCell::default(),
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
    monoio::spawn(Rc::clone(state).report());
    monoio::spawn(assemble(Rc::clone(state)));
    if !state.settings.vms.is_empty() {
        let peers = Peers::new(&state.settings.vms);
        let vms = Rc::new(HttpVms::new(&state.client, peers, ANSWER_SPAN));
        monoio::spawn(Rc::clone(state).watch_vms(vms));
    }
}

/// Waits for the pool's declaration, and starts the work for it.
async fn assemble(state: Rc<State>) {
    let pool = loop {
        if let Some(pool) = state.config.pool(state.pool()) {
            break pool;
        }
        state.timer.sleep(PAUSE).await;
    };
    let (dispatcher, outlets) = Dispatcher::new_ext(state.scheduler_options(&pool), &state.timer);
    let driven = dispatcher.clone();
    monoio::spawn(async move { driven.drive(outlets.changed).await });
    let upstream = match pool.kind {
        PoolKind::Model { .. } => {
            let peer = state.settings.upstream.to_string();
            let engine = Rc::new(VllmEngine::new(&state.client, &peer, ANSWER_SPAN));
            let runner = OrderRunner {
                state: Rc::clone(&state),
                dispatcher: dispatcher.clone(),
                engine: engine.clone(),
            };
            monoio::spawn(runner.run(outlets.orders));
            Upstream::Model(engine)
        }
        PoolKind::Service { parts, .. } => match service(&state, parts) {
            Ok(upstream) => upstream,
            Err(e) => return state.readiness.fail(CONFIG, &e.to_string()),
        },
    };
    let work = Work {
        dispatcher,
        upstream,
    };
    *state.work.borrow_mut() = Some(work.clone());
    watch(state, work).await;
}

fn service(state: &State, parts: u32) -> Result<Upstream, LimitError> {
    let limits = state.key_limits()?;
    let peer = state.settings.upstream.to_string();
    let service = Rc::new(HttpService::new(
        &state.client,
        &peer,
        ANSWER_LIMIT,
        ANSWER_SPAN,
    ));
    let peers = Peers::new(&state.settings.log);
    let log: Rc<dyn PlatformLog> = Rc::new(HttpLog::new(&state.client, peers, ANSWER_SPAN));
    let context = KeyContext {
        service: ServiceId::from(state.pool().as_str()),
        vm: state.vm().clone(),
        incarnation: state.incarnation,
        limits: Cell::new(limits),
        idle_timeout: millis(state.settings.key_idle.0),
        append_rate: state.settings.log_rate,
        log,
        events: state.log.clone(),
        timer: state.timer.clone(),
    };
    let keys = Keys::start(context, parts);
    Ok(Upstream::Service(service, keys))
}
