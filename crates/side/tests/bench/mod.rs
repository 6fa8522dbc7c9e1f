//! Test bench: sides, stand-ins of the platform and a fake entry on one event loop.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_config::{Change, ChangeId, Fold, Record, Source, parse};
use pumicecleat_net::{
    Client, ClientOptions, FrameReader, Handler, Incoming, Protocol, Reply, Server, ServerOptions,
    Timer, bind, peer_reply, plain_reply, post, read_all, run,
};
use pumicecleat_ops::{Log as EventLog, LogOptions, Settings};
use pumicecleat_side::{Side, SideSettings};
use pumicecleat_standin::{
    Engine, EngineFaults, EngineOptions, Log, LogFaults, LogOptions as StandinLogOptions, Running,
    Service, ServiceFaults, ServiceOptions, Store, StoreFaults, StoreOptions,
};
use pumicecleat_types::{
    BidRequest, BidRequestReply, ConfigReply, Frame, LoadBid, LoadTurn, LogRecord, Lora,
    ModelTarget, Report, ReportReply, RunHead, RunRequest, ServiceTarget, Target, decode, encode,
};

/// Timeout of each step of a test.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Loopback address with a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

const CONFIG: &str = "
[base.m]
context = 4096
[adapter.a]
base = 'm'
version.v1.path = 'a/v1'
version.v2.path = 'a/v2'
[adapter.b]
base = 'm'
version.v1.path = 'b/v1'
[adapter.c]
base = 'm'
version.v1.path = 'c/v1'
[caller.school]
keys = ['0000000000000000000000000000000000000000000000000000000000000000']
claim = 1
adapters = ['*']
services = ['booking']
[pool.lm]
kind = 'model'
base = 'm'
slots = 2
batch = 4
queue = 64
[pool.booking]
kind = 'service'
concurrency = 4
parts = PARTS
queue = 64
[service.booking]
pool = 'booking'
[[service.booking.route]]
prefix = '/holds'
idempotent = false
[[service.booking.route]]
prefix = '/list'
idempotent = true
";

/// What the fake entry has received, and how it answers bids.
#[derive(Default)]
pub struct Seen {
    /// Last report of each VM.
    pub reports: BTreeMap<String, Report>,
    /// Bids, in order.
    pub bids: Vec<LoadBid>,
    /// Time that bids are told to wait; `None` to grant each a turn.
    pub wait_ms: Option<u64>,
}

impl Seen {
    /// Stores a report. As at a real entry, one without resident adapters keeps those of the
    /// earlier report.
    fn store_report(&mut self, mut report: Report) {
        let earlier = self.reports.get(report.vm.as_str());
        if report.resident.is_none() {
            report.resident = earlier.and_then(|r| r.resident.clone());
        }
        self.reports.insert(report.vm.to_string(), report);
    }
}

struct FakeEntry {
    fold: Rc<RefCell<Fold>>,
    seen: Rc<RefCell<Seen>>,
    timer: Timer,
}

impl Handler for FakeEntry {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let path = request.uri().path().to_owned();
        let snapshot = self.fold.borrow().snapshot_bytes();
        let revision = self.fold.borrow().revision();
        let seen = Rc::clone(&self.seen);
        let timer = self.timer.clone();
        Box::pin(async move {
            let mut body = request.into_body();
            let bytes = read_all(&mut body, 1 << 20, TIMEOUT, &timer).await.unwrap();
            match path.as_str() {
                "/peer/v1/config" => peer_reply(&ConfigReply::Snapshot(snapshot)),
                "/peer/v1/report" => {
                    let report: Report = decode(&bytes).unwrap();
                    seen.borrow_mut().store_report(report);
                    peer_reply(&ReportReply {
                        next_ms: 200,
                        revision,
                        needs_full_report: false,
                    })
                }
                "/peer/v1/load" => {
                    seen.borrow_mut().bids.push(decode(&bytes).unwrap());
                    let go = LoadTurn::Granted { ttl_ms: 2_000 };
                    let wait = seen.borrow().wait_ms;
                    peer_reply(&wait.map_or(go, wait_turn))
                }
                _ => plain_reply(404, ""),
            }
        })
    }
}

/// Fixture of a test of a side.
pub struct Bench {
    pub timer: Timer,
    /// Client for stand-ins.
    client: Client,
    /// Client for sides, with the protocol that entries use.
    side_client: Client,
    pub seen: Rc<RefCell<Seen>>,
    pub log: Running<LogFaults>,
    pub store: Running<StoreFaults>,
    pub engine: Running<EngineFaults>,
    pub service: Running<ServiceFaults>,
    fold: Rc<RefCell<Fold>>,
    entry: String,
    config: String,
}

impl Bench {
    /// Starts the stand-ins and the fake entry.
    pub fn start() -> Self {
        Self::start_with(1, 0)
    }

    /// Starts with an engine whose load figures lag.
    pub fn start_lagging(metrics_lag_ms: u64) -> Self {
        Self::start_with(1, metrics_lag_ms)
    }

    /// Starts with the service's keys split into `parts`.
    pub fn start_with_parts(parts: u32) -> Self {
        Self::start_with(parts, 0)
    }

    fn start_with(parts: u32, metrics_lag_ms: u64) -> Self {
        let timer = Timer::start();
        let store = Store::start(
            StoreOptions {
                load_ms: 50,
                ..StoreOptions::default()
            },
            &timer,
        )
        .unwrap();
        let options = EngineOptions {
            base: "m".into(),
            slots: 2,
            batch: 4,
            step_ms: 5,
            slow_ms: 5,
            store: Some(store.address.to_string()),
            check_fencing: true,
            metrics_lag_ms,
            ..EngineOptions::default()
        };
        let engine = Engine::start(options, &timer).unwrap();
        let service = Service::start(ServiceOptions::default(), &timer).unwrap();
        let log = Log::start(StandinLogOptions::default(), &timer).unwrap();
        let seen = Rc::default();
        let fold = Rc::new(RefCell::new(Fold::new()));
        let config = CONFIG.replace("PARTS", &parts.to_string());
        declare(&fold, &config);
        let entry = start_entry(&fold, &seen, &timer);
        Self {
            client: Client::new_ext(ClientOptions::default(), &timer),
            side_client: Client::new_ext(run_options(), &timer),
            timer,
            seen,
            log,
            store,
            engine,
            service,
            fold,
            entry,
            config,
        }
    }

    /// Declares further items at the fake entry. Sides learn of them from replies to reports.
    pub fn declare_more(&self, text: &str) {
        declare(&self.fold, &format!("{}{text}", self.config));
    }

    /// Removes the pool of services and declares it again with another number of parts.
    pub fn redeclare_parts(&self, parts: u32) {
        let start = self.config.find("[pool.booking]").unwrap();
        let without = self.config[..start].replace("services = ['booking']", "");
        declare(&self.fold, &without);
        declare(&self.fold, &CONFIG.replace("PARTS", &parts.to_string()));
    }

    /// Starts a side of the pool of services with another service as its upstream.
    pub fn service_side_at(&self, vm: &str, upstream: SocketAddr) -> Side {
        self.side(vm, "booking", &upstream.to_string())
    }

    /// Starts a side of the pool of engines.
    pub fn model_side(&self, vm: &str) -> Side {
        let upstream = self.engine.address.to_string();
        self.side(vm, "lm", &upstream)
    }

    /// Starts a side of the pool of engines and waits until it reports its engine as healthy.
    pub async fn ready_model_side(&self, vm: &str) -> Side {
        let side = self.model_side(vm);
        self.until_healthy(vm).await;
        side
    }

    /// Starts a side of the pool of services.
    pub fn service_side(&self, vm: &str) -> Side {
        let upstream = self.service.address.to_string();
        self.side(vm, "booking", &upstream)
    }

    /// Starts a side of the pool of services that logs to `log`.
    pub fn logging_side(&self, vm: &str, log: &EventLog) -> Side {
        let settings = self.settings(vm, "booking", &self.service.address.to_string());
        Side::start(settings, &self.timer, log).unwrap()
    }

    fn side(&self, vm: &str, pool: &str, upstream: &str) -> Side {
        let settings = self.settings(vm, pool, upstream);
        let log = EventLog::new_ext(&LogOptions::default());
        Side::start(settings, &self.timer, &log).unwrap()
    }

    /// Starts a side of the pool of services in its own thread, so that it can be killed.
    pub fn killable_side(&self, vm: &str) -> KillableSide {
        let settings = self.settings(vm, "booking", &self.service.address.to_string());
        let (kill, killed) = async_channel::bounded::<()>(1);
        let (started, start) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let live = async move {
                let log = EventLog::new_ext(&LogOptions::default());
                let side = Side::start(settings, &Timer::start(), &log).unwrap();
                started.send(side.address()).unwrap();
                let _ = killed.recv().await;
            };
            run(live).unwrap();
        });
        KillableSide {
            address: start.recv().unwrap(),
            kill,
            thread,
        }
    }

    fn settings(&self, vm: &str, pool: &str, upstream: &str) -> SideSettings {
        let log = self.log.address.to_string();
        let entry = &self.entry;
        let args = format!(
            "--vm {vm} --data-centre bp-a --region hu-central --listen {ANY_PORT} \
             --admin {ANY_PORT} --slot {ANY_PORT} \
             --pool {pool} --upstream {upstream} --log {log} --entries {entry} --stall 500ms \
             --key-idle 300ms --log-level off"
        );
        let args: Vec<&str> = args.split(' ').collect();
        SideSettings::read("side", &args, &BTreeMap::new()).unwrap()
    }

    /// Waits until the side of `vm` reports its upstream as healthy.
    pub async fn until_healthy(&self, vm: &str) {
        self.until(|seen| seen.reports.get(vm).is_some_and(|r| r.healthy))
            .await;
    }

    /// Waits until `condition` holds for what the entry has received.
    pub async fn until(&self, condition: impl Fn(&Seen) -> bool) {
        let waiting = async {
            while !condition(&self.seen.borrow()) {
                self.timer.sleep(Duration::from_millis(5)).await;
            }
        };
        let waited = self.timer.within(TIMEOUT, waiting).await;
        waited.expect("the condition did not hold in time");
    }

    /// Chat attempt for `adapter`.
    pub fn chat(&self, request: &str, adapter: &str, tokens: u32, stream: bool) -> RunRequest {
        let lora = Lora::new("m", adapter, "v1");
        let body = serde_json::json!({
            "model": lora.engine_name(),
            "messages": [{"role": "user", "content": "tonight?"}],
            "max_tokens": tokens,
            "stream": stream,
        });
        let target = Target::Model(ModelTarget {
            base: lora.base.clone(),
            adapter: lora.adapter.clone(),
            version: lora.version.clone(),
            declaration_digest: self.fold.borrow().config().stamp(&lora).unwrap_or_default(),
        });
        let mut run = self.run(request, "lm", target, serde_json::to_vec(&body).unwrap());
        run.head.max_tokens = tokens;
        run.head.stream = stream;
        run
    }

    /// Attempt of a call of the booking service.
    pub fn call(&self, request: &str, path: &str, key: Option<&str>, body: &str) -> RunRequest {
        let target = Target::Service(ServiceTarget {
            service: "booking".into(),
            method: "POST".into(),
            path: path.into(),
            headers: Vec::new(),
            idempotent: path.starts_with("/list"),
        });
        let mut run = self.run(request, "booking", target, body.as_bytes().to_vec());
        run.head.idempotency_key = key.map(str::to_owned);
        run
    }

    fn run(&self, request: &str, pool: &str, target: Target, body: Vec<u8>) -> RunRequest {
        RunRequest {
            head: RunHead {
                request: request.into(),
                attempt: 1,
                pool: pool.into(),
                revision: self.fold.borrow().revision(),
                caller: "school".into(),
                target,
                time_left_ms: 5_000,
                priority: 0,
                stream: false,
                max_tokens: 1,
                idempotency_key: None,
            },
            body,
        }
    }

    /// Sends an attempt and returns the reader of its frames.
    pub async fn send(&self, side: &Side, run: &RunRequest) -> FrameReader {
        self.send_to(side.address(), run).await
    }

    /// Sends an attempt to the side at `address`.
    pub async fn send_to(&self, address: SocketAddr, run: &RunRequest) -> FrameReader {
        let request = http::Request::post("/peer/v1/run")
            .body(Bytes::from(encode(run)))
            .unwrap();
        let peer = address.to_string();
        let response = self
            .side_client
            .send(&peer, request, TIMEOUT)
            .await
            .unwrap();
        FrameReader::new(response)
    }

    /// Calls a side for a bid; returns whether the side has one pending.
    pub async fn call_for_bid(&self, side: &Side) -> bool {
        let peer = side.address().to_string();
        let call = BidRequest { at_ms: 1 };
        let reply = post(&self.side_client, &peer, "/peer/v1/call", &call, TIMEOUT).await;
        reply.map(|called: BidRequestReply| called.bids).unwrap()
    }

    /// Sends an attempt and returns all its frames.
    pub async fn frames(&self, side: &Side, run: &RunRequest) -> Vec<Frame> {
        let mut reader = self.send(side, run).await;
        let mut frames = Vec::new();
        while let Some(frame) = self.next(&mut reader).await {
            frames.push(frame);
        }
        frames
    }

    /// Next frame, or `None` at the end.
    pub async fn next(&self, reader: &mut FrameReader) -> Option<Frame> {
        self.timer
            .within(TIMEOUT, reader.next())
            .await
            .expect("a frame in time")
            .unwrap()
    }

    /// Effects that a stand-in has recorded.
    pub async fn effects(&self, address: SocketAddr) -> serde_json::Value {
        let request = http::Request::get("/effects").body(Bytes::new()).unwrap();
        let mut response = self
            .client
            .send(&address.to_string(), request, TIMEOUT)
            .await
            .unwrap();
        let body = response.read(1 << 24, TIMEOUT).await.unwrap();
        serde_json::from_slice(&body).unwrap()
    }
}

/// Side in its own thread that can be killed.
pub struct KillableSide {
    pub address: SocketAddr,
    kill: async_channel::Sender<()>,
    thread: std::thread::JoinHandle<()>,
}

impl KillableSide {
    /// Stops its event loop and drops all tasks on it.
    pub fn kill(self) {
        self.kill.send_blocking(()).unwrap();
        self.thread.join().unwrap();
    }
}

/// Puts a configuration in force at the fake entry.
fn declare(fold: &RefCell<Fold>, text: &str) {
    let config = parse(&[Source {
        name: "test.toml",
        bytes: text.as_bytes(),
    }])
    .unwrap();
    let mut fold = fold.borrow_mut();
    let offset = fold.next();
    let id = ChangeId::try_from(format!("change-{offset}")).unwrap();
    let change = Change::new(id, fold.revision(), fold.config(), &config, "test");
    let data = Record::Change(Box::new(change)).to_bytes();
    fold.apply(&LogRecord {
        offset,
        at: 0,
        data,
    })
    .unwrap();
}

fn run_options() -> ClientOptions {
    ClientOptions {
        protocol: Protocol::Http2,
        ..ClientOptions::default()
    }
}

fn start_entry(fold: &Rc<RefCell<Fold>>, seen: &Rc<RefCell<Seen>>, timer: &Timer) -> String {
    let handler = FakeEntry {
        fold: Rc::clone(fold),
        seen: Rc::clone(seen),
        timer: timer.clone(),
    };
    let listener = bind(ANY_PORT.parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = Server::new_ext(ServerOptions::default(), Rc::new(handler), timer);
    monoio::spawn(async move { server.serve(listener).await });
    address
}

/// Runs `case` on a new event loop with its own stand-ins.
pub fn with_bench<F: Future<Output = ()>>(case: impl FnOnce(Bench) -> F) {
    run(async { case(Bench::start()).await }).unwrap();
}

/// Whether the answer is whole, which an end frame marks.
pub fn is_whole(frames: &[Frame]) -> bool {
    matches!(frames.last(), Some(Frame::End { .. }))
}

/// Concatenated bytes of the data frames.
pub fn body_of(frames: &[Frame]) -> Vec<u8> {
    let pieces = frames.iter().filter_map(|f| match f {
        Frame::Data { bytes } => Some(bytes.as_slice()),
        _ => None,
    });
    pieces.collect::<Vec<_>>().concat()
}

/// Reply that tells the side to bid again later. The turn is expected at once, so that no request
/// would miss its deadline because of the wait.
fn wait_turn(again_ms: u64) -> LoadTurn {
    LoadTurn::Wait {
        again_ms,
        turn_ms: 0,
        round_ms: 0,
    }
}
