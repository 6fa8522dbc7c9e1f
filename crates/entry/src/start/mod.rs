//! Putting an entry together, and its graceful stop.

mod dump;
mod running;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::{HttpLog, HttpVms, Log as LogService, Peers, Vms};
use pumicecleat_net::{
    Client, ClientOptions, Handler, Protocol, Server, ServerOptions, Timer, Turns, bind,
};
use pumicecleat_ops::{Admin, Drain, Log, Metrics, Readiness, Stop, events, field};
use pumicecleat_policy::{LoadOrder, LoadOrderOptions, RetryBudget, RetryBudgetOptions};
use snafu::{ResultExt, Snafu};

use crate::EntrySettings;
use crate::caller::CallerHandler;
use crate::config::{self, Configuration};
use crate::directory::{Directory, follow_vms, watch_silence};
use crate::meters::Meters;
use crate::peer::{PeerHandler, call_idle};
use crate::shared::{Options, Shared};

pub use dump::{EntryDump, OrderDump};
pub use running::{Addresses, Entry};

/// Time for an exchange with the platform, beside what it waits by request.
const PLATFORM_SPAN: Duration = Duration::from_secs(2);

/// Longest idle time of a side's connection: kept for the minute between two reports, those of a
/// region's sides would take more memory than all the rest.
const PEER_IDLE: Duration = Duration::from_secs(5);

/// Retries of refused attempts at hand at the start.
const RETRY_BURST: u32 = 20;

/// Retries of lost attempts: load is doubled at most, and the batches of a few upstreams that die at
/// once are tried again.
const LOSSES: RetryBudgetOptions = RetryBudgetOptions {
    percent: 100,
    burst: 500,
};

/// Pieces of streams under way that pass before the poller is asked again.
const TURN: usize = 16;

/// Readiness condition of the listeners.
const LISTENERS_CONDITION: &str = "listeners";

/// The platform as an entry needs it.
#[derive(Clone)]
pub struct EntryContext {
    /// Log service.
    pub log_service: Rc<dyn LogService>,
    /// VM list, if there is one.
    pub vm_list: Option<Rc<dyn Vms>>,
}

/// An entry that can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener can't be bound.
    #[snafu(display("step bind, listener {purpose}, address {address}: {source}"))]
    Bind {
        /// Use of the listener.
        purpose: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// No turns for streams.
    #[snafu(display("step start turns: {source}"))]
    Turns {
        /// Cause.
        source: io::Error,
    },
}

impl EntryContext {
    /// The platform over HTTP.
    #[must_use]
    pub fn over_http(settings: &EntrySettings, timer: &Timer) -> Self {
        let client = Client::new_ext(ClientOptions::default(), timer);
        let log = HttpLog::new(&client, Peers::parse(&settings.log), PLATFORM_SPAN);
        let list = join(&settings.vms);
        let vms = (!list.is_empty()).then(|| {
            Rc::new(HttpVms::new(&client, Peers::parse(&list), PLATFORM_SPAN)) as Rc<dyn Vms>
        });
        Self {
            log_service: Rc::new(log),
            vm_list: vms,
        }
    }
}

impl Entry {
    /// Starts an entry on this loop; a port 0 in the settings lets the system choose one.
    ///
    /// # Errors
    /// [`StartError`] if a listener can't be bound, or descriptors are lacking.
    pub fn start(
        settings: &EntrySettings,
        context: &EntryContext,
        timer: &Timer,
        log: &Log,
        stop: &Stop,
    ) -> Result<Self, StartError> {
        let metrics = Metrics::new();
        let callers = listen("callers", settings.listen, log)?;
        let peers = listen("peers", settings.peer_listen, log)?;
        let admin = listen("admin", settings.common.admin, log)?;
        let addresses = Addresses {
            callers: callers.address,
            peers: peers.address,
            admin: admin.address,
        };
        let options = options(settings, addresses.peers);
        let shared = share(settings, options, context, timer, log, stop, &metrics)?;
        let state = Rc::new(dump::State::new(&shared));
        let handler = Admin::new(&metrics, &shared.readiness, state);
        let admin = serve(admin, Rc::new(handler), ServerOptions::default(), timer);
        let limits = ServerOptions {
            connections: settings.connections,
            ..ServerOptions::default()
        };
        let handler = Rc::new(CallerHandler::new(&shared));
        let callers = serve(callers, handler, limits, timer);
        let handler = Rc::new(PeerHandler::new(&shared));
        let limits = ServerOptions {
            head_span: PEER_IDLE,
            ..ServerOptions::default()
        };
        let peers = serve(peers, handler, limits, timer);
        shared.readiness.hold(LISTENERS_CONDITION);
        spawn_loops(&shared, context);
        let servers = running::Servers {
            callers,
            peers,
            admin,
        };
        Ok(Self::new(
            shared,
            addresses,
            servers,
            settings.common.drain_limit,
        ))
    }
}

fn options(settings: &EntrySettings, bound: SocketAddr) -> Options {
    Options {
        vm: settings.common.vm.clone(),
        region: settings.common.region.clone(),
        log_addresses: settings.log.clone(),
        vm_list_addresses: join(&settings.vms),
        entry_addresses: settings.peers.clone(),
        own_address: settings.peer_address.unwrap_or(bound),
        weight_store: settings.store.clone(),
        retention_ms: saturating_ms(settings.retention.0),
        body_timeout: settings.body_span.0,
        stall_timeout: settings.stall.0,
        max_answer_bytes: usize::try_from(settings.answer.0).unwrap_or(usize::MAX),
        report_bytes_per_s: settings.report_rate.0,
    }
}

fn share(
    settings: &EntrySettings,
    options: Options,
    context: &EntryContext,
    timer: &Timer,
    log: &Log,
    stop: &Stop,
    metrics: &Metrics,
) -> Result<Rc<Shared>, StartError> {
    let budget = RetryBudgetOptions {
        percent: settings.retries,
        burst: RETRY_BURST,
    };
    let seed = pumicecleat_policy::upstream_key(&options.vm);
    let shared = Shared {
        options,
        timer: timer.clone(),
        turns: Turns::start(TURN).context(TurnsSnafu)?,
        entry_client: Client::new_ext(ClientOptions::default(), timer),
        side_client: Client::new_ext(run_options(), timer),
        log: log.clone(),
        log_service: Rc::clone(&context.log_service),
        config: Configuration::default(),
        directory: RefCell::new(Directory::new(seed)),
        refusal_budget: RefCell::new(RetryBudget::new_ext(budget)),
        loss_budget: RefCell::new(RetryBudget::new_ext(LOSSES)),
        load_order: RefCell::new(LoadOrder::new_ext(LoadOrderOptions::default())),
        readiness: Readiness::new(
            &[
                config::CONFIG_CONDITION,
                LISTENERS_CONDITION,
                running::RUNNING_CONDITION,
            ],
            log,
        ),
        drain: Drain::new(),
        stop: stop.clone(),
        meters: Meters::new(metrics),
        leaving: Cell::new(false),
        unreachable_peers: RefCell::default(),
        next_peer: Cell::new(0),
    };
    Ok(Rc::new(shared))
}

fn run_options() -> ClientOptions {
    ClientOptions {
        protocol: Protocol::Http2,
        ..ClientOptions::default()
    }
}

struct Bound {
    listener: monoio::net::TcpListener,
    address: SocketAddr,
}

fn listen(purpose: &'static str, address: SocketAddr, log: &Log) -> Result<Bound, StartError> {
    let bound = bind(address).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok(Bound { listener, address })
    });
    match &bound {
        Ok(bound) => {
            let fields = [field("purpose", purpose), field("address", &bound.address)];
            log.emit(&events::LISTENING, &fields);
        }
        Err(e) => {
            let fields = [
                field("purpose", purpose),
                field("address", &address),
                field("error", e),
            ];
            log.emit(&events::BIND_FAILED, &fields);
        }
    }
    bound.context(BindSnafu { purpose, address })
}

fn serve(bound: Bound, handler: Rc<dyn Handler>, options: ServerOptions, timer: &Timer) -> Server {
    let server = Server::new_ext(options, handler, timer);
    let accepting = server.clone();
    monoio::spawn(async move { accepting.serve(bound.listener).await });
    server
}

fn spawn_loops(shared: &Rc<Shared>, context: &EntryContext) {
    monoio::spawn(config::follow(Rc::clone(shared)));
    monoio::spawn(config::append_snapshots(Rc::clone(shared)));
    monoio::spawn(watch_silence(Rc::clone(shared)));
    monoio::spawn(call_idle(Rc::clone(shared)));
    if let Some(vms) = &context.vm_list {
        monoio::spawn(follow_vms(Rc::clone(shared), Rc::clone(vms)));
    }
}

fn join(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    texts.join(",")
}

fn saturating_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
