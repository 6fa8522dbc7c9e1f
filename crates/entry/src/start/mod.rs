//! Startup and graceful shutdown of an entry.

mod dump;
mod running;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::{HttpLog, HttpVms, Log as LogService, Peers, Vms};
use pumicecleat_net::{
    Client, ClientOptions, Handler, MemoryBudget, Protocol, Server, ServerOptions, Timer, Turns,
    bind,
};
use pumicecleat_ops::{
    Admin, Capacity, Drain, Log, Metrics, Readiness, Stop, events, field, operator_options,
};
use pumicecleat_policy::{LoadOrder, LoadOrderOptions, RetryBudget, RetryBudgetOptions};
use snafu::{ResultExt, Snafu};

use crate::EntrySettings;
use crate::caller::CallerHandler;
use crate::config::{self, Configuration};
use crate::directory::{Directory, follow_vms, watch_silence};
use crate::meters::Meters;
use crate::peer::{PeerHandler, call_bidders};
use crate::shared::{Options, Shared};

pub use dump::{EntryDump, OrderDump};
pub use running::{Addresses, Entry};

/// Timeout of requests to the platform, in addition to the wait that a request asks for.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle timeout of connections from sides. If they stayed open for the minute between two reports,
/// the connections of a region's sides would take more memory than everything else.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of retries of refused attempts in a burst, which are available at the start.
const REFUSAL_RETRY_BURST: u32 = 20;

/// Budget for retries of lost attempts. It at most doubles the load, and is large enough to retry
/// the batches of a few upstreams that fail at once.
const LOSS_BUDGET: RetryBudgetOptions = RetryBudgetOptions {
    percent: 100,
    burst: 500,
};

/// Number of pieces of open streams forwarded between two polls for I/O events.
const MAX_PIECES_PER_TURN: usize = 16;

/// Readiness condition of the listeners.
const LISTENERS_CONDITION: &str = "listeners";

/// Services used by an entry.
#[derive(Clone)]
pub struct EntryContext {
    /// Log service.
    pub log_service: Rc<dyn LogService>,
    /// VM list, if there is one.
    pub vm_list: Option<Rc<dyn Vms>>,
}

/// Failure to start an entry.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener can't be bound.
    #[snafu(display("step bind, listener {purpose}, address {address}: {source}"))]
    Bind {
        /// Purpose of the listener.
        purpose: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The turns for streams can't be started.
    #[snafu(display("step start turns: {source}"))]
    Turns {
        /// Cause.
        source: io::Error,
    },
}

impl EntryContext {
    /// Creates clients of the services over HTTP, with the addresses from the settings.
    #[must_use]
    pub fn over_http(settings: &EntrySettings, timer: &Timer) -> Self {
        let client = Client::new_ext(ClientOptions::default(), timer);
        let log_service = HttpLog::new(&client, Peers::parse(&settings.log), PLATFORM_TIMEOUT);
        let addresses = join_addresses(&settings.vms);
        let vm_list = (!addresses.is_empty()).then(|| {
            Rc::new(HttpVms::new(
                &client,
                Peers::parse(&addresses),
                PLATFORM_TIMEOUT,
            )) as Rc<dyn Vms>
        });
        Self {
            log_service: Rc::new(log_service),
            vm_list,
        }
    }
}

impl Entry {
    /// Starts an entry on this thread's event loop. The system chooses a port for each port 0 in the
    /// settings.
    ///
    /// # Errors
    /// Returns [`StartError`] if a listener can't be bound or the process is out of file
    /// descriptors.
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
        let options = build_options(settings, addresses.peers);
        let capacity = Capacity::new_ext(settings.memory_limit, &settings.common);
        let budget = capacity.budget(timer);
        metrics.watch_budget(&budget);
        let shared = build_shared(settings, options, context, &budget, log, stop, &metrics)?;
        let dump = Rc::new(dump::StateDump::new(&shared));
        let handler = Admin::new(&metrics, &shared.readiness, dump);
        let admin = start_server(admin, Rc::new(handler), operator_options(), &budget);
        let server_options = ServerOptions {
            connections: settings.connections.min(capacity.forwarded_connections()),
            ..ServerOptions::default()
        };
        let handler = Rc::new(CallerHandler::new(&shared));
        let callers = start_server(callers, handler, server_options, &budget);
        let handler = Rc::new(PeerHandler::new(&shared));
        let server_options = ServerOptions {
            head_span: PEER_IDLE_TIMEOUT,
            ..ServerOptions::default()
        };
        let peers = start_server(peers, handler, server_options, &budget);
        shared.readiness.set_met(LISTENERS_CONDITION);
        spawn_tasks(&shared, context);
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

fn build_options(settings: &EntrySettings, bound: SocketAddr) -> Options {
    Options {
        vm: settings.common.vm.clone(),
        region: settings.common.region.clone(),
        log_addresses: settings.log.clone(),
        vm_list_addresses: join_addresses(&settings.vms),
        entry_addresses: settings.peers.clone(),
        own_address: settings.peer_address.unwrap_or(bound),
        weight_store: settings.store.clone(),
        retention_ms: to_millis(settings.retention.0),
        body_timeout: settings.body_span.0,
        stall_timeout: settings.stall.0,
        max_answer_bytes: usize::try_from(settings.answer.0).unwrap_or(usize::MAX),
        report_bytes_per_s: settings.report_rate.0,
    }
}

fn build_shared(
    settings: &EntrySettings,
    options: Options,
    context: &EntryContext,
    budget: &MemoryBudget,
    log: &Log,
    stop: &Stop,
    metrics: &Metrics,
) -> Result<Rc<Shared>, StartError> {
    let timer = budget.timer();
    let refusal_budget = RetryBudgetOptions {
        percent: settings.retries,
        burst: REFUSAL_RETRY_BURST,
    };
    let seed = pumicecleat_policy::upstream_key(&options.vm);
    let shared = Shared {
        options,
        timer: timer.clone(),
        budget: budget.clone(),
        turns: Turns::start(MAX_PIECES_PER_TURN).context(TurnsSnafu)?,
        entry_client: Client::new_ext(ClientOptions::default(), timer),
        side_client: Client::new_ext(side_client_options(), timer),
        log: log.clone(),
        log_service: Rc::clone(&context.log_service),
        config: Configuration::default(),
        directory: RefCell::new(Directory::new(seed)),
        refusal_budget: RefCell::new(RetryBudget::new_ext(refusal_budget)),
        loss_budget: RefCell::new(RetryBudget::new_ext(LOSS_BUDGET)),
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
        peer_rotation: Cell::new(0),
    };
    Ok(Rc::new(shared))
}

fn side_client_options() -> ClientOptions {
    ClientOptions {
        protocol: Protocol::Http2,
        ..ClientOptions::default()
    }
}

struct BoundListener {
    listener: monoio::net::TcpListener,
    address: SocketAddr,
}

fn listen(
    purpose: &'static str,
    address: SocketAddr,
    log: &Log,
) -> Result<BoundListener, StartError> {
    let bound = bind(address).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok(BoundListener { listener, address })
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

fn start_server(
    bound: BoundListener,
    handler: Rc<dyn Handler>,
    options: ServerOptions,
    budget: &MemoryBudget,
) -> Server {
    let server = Server::with_budget(options, handler, budget);
    let accepting = server.clone();
    monoio::spawn(async move { accepting.serve(bound.listener).await });
    server
}

fn spawn_tasks(shared: &Rc<Shared>, context: &EntryContext) {
    monoio::spawn(config::follow(Rc::clone(shared)));
    monoio::spawn(config::append_snapshots(Rc::clone(shared)));
    monoio::spawn(watch_silence(Rc::clone(shared)));
    monoio::spawn(call_bidders(Rc::clone(shared)));
    if let Some(vms) = &context.vm_list {
        monoio::spawn(follow_vms(Rc::clone(shared), Rc::clone(vms)));
    }
}

fn join_addresses(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    addresses.join(",")
}

fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
