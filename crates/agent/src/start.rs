//! Putting an agent together, and its stop.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{Dialect, FollowParts, FollowSettings, Shared as Catalog, Topic, follow};
use pumicecleat_infra::KeyedLog;
use pumicecleat_net::{Client, ClientOptions, Server, ServerOptions, Timer};
use pumicecleat_ops::{Admin, Dump, ListenError, Log, Metrics, Readiness, Stop, events, listen};
use pumicecleat_policy::{BaseLoadTimes, RateLimits, TurnOptions, TurnScheduler};

use crate::drive::drive;
use crate::handler::PeerHandler;
use crate::instance::find_instance;
use crate::meters::Meters;
use crate::relay::{Board, gather};
use crate::shared::{Bell, ENGINE, Shared};
use crate::trial::Watch;
use crate::{AgentSettings, EnginePort};

/// Time for answers under way after a stop was asked for. Turns are short, and entries do without.
const STOP_SPAN: Duration = Duration::from_millis(500);

/// Time for a connection to another agent: over a hundred ways between data centres.
const CONNECT_SPAN: Duration = Duration::from_millis(250);

/// Time for which another agent may leave bytes without acknowledgement: many ways there and back, with
/// a loss or two.
const ACK_SPAN: Duration = Duration::from_millis(1_200);

/// Idle connections kept for another agent: exchanges with it follow one another.
const IDLE: usize = 1;

/// Time between two reads of the operators' records. Gateways name the versions wanted with each ask, and
/// what else an agent needs of a configuration hardly ever changes; a hundred agents that read each
/// record at once are most of the store's calls after a change.
const READ_PAUSE: Duration = Duration::from_secs(20);

/// Longest pause between two attempts to reach the log. Gateways name the versions wanted, and tell
/// when there is more to read, so that an agent can be seconds behind.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// The deployment, as an agent needs it.
#[derive(Clone)]
pub struct AgentParts {
    /// Log of the deployment.
    pub store: Rc<dyn KeyedLog>,
    /// Form of its records.
    pub dialect: Rc<dyn Dialect>,
    /// Engine.
    pub port: Rc<dyn EnginePort>,
}

/// Fraction of the interval before the first slot of a rate limit. A full interval, because requests that got
/// their turn before the limit was known may still be in flight.
const FIRST_SLOT_PHASE: f64 = 1.0;

/// A running agent.
pub struct Agent {
    peers: Server,
    log: Log,
    timer: Timer,
}

struct State {
    shared: Rc<Shared>,
}

impl Dump for State {
    fn dump(&self) -> serde_json::Value {
        let catalog = self.shared.catalog.borrow();
        serde_json::json!({
            "layout": catalog.layout().map(|l| l.number),
            "engine": self.shared.figures(),
            "runs": self.shared.turns.borrow().running_requests(),
        })
    }
}

impl Agent {
    /// Starts an agent on this loop.
    ///
    /// # Errors
    /// [`ListenError`] if a listener can't be bound.
    pub fn start(
        settings: &AgentSettings,
        parts: &AgentParts,
        timer: &Timer,
        log: &Log,
    ) -> Result<Self, ListenError> {
        let metrics = Metrics::new();
        let shared = share(settings, parts, timer, log, &metrics);
        let state = Rc::new(State {
            shared: Rc::clone(&shared),
        });
        let admin = Admin::new(&metrics, &shared.readiness, state);
        let few = ServerOptions::default();
        let address = settings.common.admin;
        listen("admin", address, Rc::new(admin), few, timer, log)?;
        let handler = Rc::new(PeerHandler::new(&shared));
        let peers = listen("peers", settings.peer_listen, handler, few, timer, log)?;
        spawn_loops(&shared, settings, parts);
        Ok(Self {
            peers,
            log: log.clone(),
            timer: timer.clone(),
        })
    }

    /// Runs until a stop is asked for.
    pub async fn run(self, stop: &Stop) {
        stop.first().await;
        self.peers.stop();
        // Entries that still hold a connection find it closed and do without a turn.
        let _ = self.timer.within(STOP_SPAN, self.peers.closed()).await;
        self.log.emit_last(&events::STOPPED, &[]);
    }
}

fn share(
    settings: &AgentSettings,
    parts: &AgentParts,
    timer: &Timer,
    log: &Log,
    metrics: &Metrics,
) -> Rc<Shared> {
    let unknown = TurnOptions {
        adapter_slots: 0,
        max_batch: 0,
        base_load_times: BaseLoadTimes::default(),
    };
    let peers = ClientOptions {
        connect_span: CONNECT_SPAN,
        idle: IDLE,
        ack_span: Some(ACK_SPAN),
        abort: true,
        ..ClientOptions::default()
    };
    let centre = settings.common.centre.clone();
    let board = Board::new(centre, settings.peer_listen, rand::random());
    Rc::new(Shared {
        timer: timer.clone(),
        log: log.clone(),
        vm: settings.common.vm.clone(),
        service: settings.service.clone(),
        engine: settings.engine,
        port: Rc::clone(&parts.port),
        catalog: Catalog::default(),
        marks: Rc::default(),
        turns: RefCell::new(TurnScheduler::new_ext(unknown)),
        limits: RefCell::new(RateLimits::new_ext(FIRST_SLOT_PHASE)),
        waiters: RefCell::new(BTreeMap::new()),
        instance: RefCell::default(),
        born: Cell::new(None),
        starts: Cell::new(0),
        denied: RefCell::default(),
        entries: RefCell::default(),
        readiness: Readiness::new(&[ENGINE], log),
        meters: Meters::new(metrics),
        wake: Bell::new(),
        peers: Client::new_ext(peers, timer),
        watch: Watch::new(rand::random()),
        board: RefCell::new(board),
        viewed: Bell::new(),
        named: RefCell::default(),
        naming: Bell::new(),
        refuted: RefCell::default(),
        doubt: Cell::new(false),
    })
}

fn spawn_loops(shared: &Rc<Shared>, settings: &AgentSettings, parts: &AgentParts) {
    let options = FollowSettings {
        wait: settings.store_wait.0,
        detection_span: None,
        answer_timeout: None,
        pace: READ_PAUSE,
        fresh: Duration::ZERO,
        hurry: READ_PAUSE,
        hurry_most: READ_PAUSE,
        longest: LONGEST_PAUSE,
        seed: pumicecleat_policy::upstream_key(&settings.common.vm),
    };
    let sources = FollowParts {
        catalog: Rc::clone(&shared.catalog),
        store: Rc::clone(&parts.store),
        dialect: Rc::clone(&parts.dialect),
        listener: shared.clone(),
        timer: shared.timer.clone(),
        log: shared.log.clone(),
        marks: Rc::clone(&shared.marks),
    };
    monoio::spawn(follow(Topic::Operators, sources, options));
    monoio::spawn(find_instance(
        Rc::clone(shared),
        Rc::clone(&parts.store),
        Rc::clone(&parts.dialect),
    ));
    monoio::spawn(drive(Rc::clone(shared), settings.report_pause.0));
    monoio::spawn(gather(Rc::clone(shared)));
}
