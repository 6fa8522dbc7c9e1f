//! Test fixture: entries, and the log, clients and sides that they need.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_config::model::Config;
use pumicecleat_config::{Change, ChangeId, Fold, Record, Source, hash_key, parse};
use pumicecleat_entry::{Entry, EntryContext, EntrySettings};
use pumicecleat_infra::{HttpLog, Log as LogService, Peers};
use pumicecleat_net::{Client, ClientOptions, Timer, run};
use pumicecleat_ops::{Level, Log, LogOptions, Settings, Stop};
use pumicecleat_standin::{Log as StandinLog, LogFaults, Running};
use pumicecleat_types::LogRecord;

use crate::caller::{Caller, DESK_KEY};
use crate::script::Action;
use crate::side::FakeSide;

/// Loopback address with a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// Pool of the model that most tests use.
pub(crate) const MODEL_POOL: &str = "engines";

/// Pool of the plain service.
pub(crate) const SERVICE_POOL: &str = "bookings";

/// Log, client and timer of a test, with an author of the configuration.
pub(crate) struct Fixture {
    pub(crate) timer: Timer,
    pub(crate) client: Client,
    pub(crate) log: Running<LogFaults>,
    /// Configuration that the author has appended so far.
    fold: Fold,
    change_count: u32,
}

/// A second author, who changes the configuration concurrently.
pub(crate) struct ConcurrentAuthor {
    log_service: Rc<dyn LogService>,
    fold: Fold,
}

impl ConcurrentAuthor {
    /// Appends a change based on the revision that this author holds.
    pub(crate) async fn apply_config(&mut self, config: &str) {
        let id = ChangeId::try_from("change-of-rival".to_owned()).unwrap();
        let (revision, from) = (self.fold.revision(), self.fold.config());
        let change = Change::new(id, revision, from, &parse_config(config), "vithu");
        let data = Record::Change(Box::new(change)).to_bytes();
        self.log_service.append("config", vec![data]).await.unwrap();
    }
}

fn parse_config(text: &str) -> Config {
    let name = "test.toml";
    let bytes = text.as_bytes();
    parse(&[Source { name, bytes }]).unwrap()
}

/// An entry and the handle that stops it.
pub(crate) struct StartedEntry {
    pub(crate) entry: Entry,
    pub(crate) stop: Stop,
}

/// Runs a test on its own event loop.
pub(crate) fn run_test<F: Future>(test: impl FnOnce() -> F) -> F::Output {
    run(async { test().await }).unwrap()
}

impl Fixture {
    /// Creates a fixture whose log holds the default configuration.
    pub(crate) async fn new() -> Self {
        let mut fixture = Self::with_empty_log();
        let config = default_config();
        fixture.apply_config(&config).await;
        fixture
    }

    pub(crate) fn with_empty_log() -> Self {
        let timer = Timer::start();
        let options = pumicecleat_standin::LogOptions::default();
        Self {
            client: Client::new_ext(ClientOptions::default(), &timer),
            log: StandinLog::start(options, &timer).unwrap(),
            timer,
            fold: Fold::new(),
            change_count: 0,
        }
    }

    /// Appends a change to `config` and returns its revision.
    pub(crate) async fn apply_config(&mut self, config: &str) -> u64 {
        let config = parse_config(config);
        self.change_count += 1;
        let id = ChangeId::try_from(format!("change-{}", self.change_count)).unwrap();
        let change = Change::new(
            id,
            self.fold.revision(),
            self.fold.config(),
            &config,
            "asha",
        );
        self.append(Record::Change(Box::new(change)).to_bytes())
            .await;
        self.fold.revision()
    }

    /// Appends a snapshot of the current state.
    pub(crate) async fn append_snapshot(&mut self) {
        let snapshot = Record::Snapshot(Box::new(self.fold.snapshot()));
        self.append(snapshot.to_bytes()).await;
    }

    async fn append(&mut self, data: Vec<u8>) {
        let log_service = self.log_service();
        let appended = log_service
            .append("config", vec![data.clone()])
            .await
            .unwrap();
        let (offset, at) = (appended.first, appended.at);
        self.fold.apply(&LogRecord { offset, at, data }).unwrap();
    }

    /// Offset that the next record gets.
    pub(crate) fn next_offset(&self) -> u64 {
        self.fold.next()
    }

    pub(crate) fn log_service(&self) -> Rc<dyn LogService> {
        let peers = Peers::parse(&self.log.address.to_string());
        Rc::new(HttpLog::new(&self.client, peers, Duration::from_secs(1)))
    }

    /// A second author, who holds the current revision.
    pub(crate) fn concurrent_author(&self) -> ConcurrentAuthor {
        ConcurrentAuthor {
            log_service: self.log_service(),
            fold: self.fold.clone(),
        }
    }

    /// Starts an entry with additional command-line arguments.
    pub(crate) fn start(&self, args: &[&str]) -> StartedEntry {
        let context = EntryContext {
            log_service: self.log_service(),
            vm_list: None,
        };
        self.start_with_context(args, &context)
    }

    /// Starts an entry with the test's own context.
    pub(crate) fn start_with_context(&self, args: &[&str], context: &EntryContext) -> StartedEntry {
        let settings = self.settings(args);
        let stop = Stop::without_signals();
        let log = test_log();
        let entry = Entry::start(&settings, context, &self.timer, &log, &stop).unwrap();
        StartedEntry { entry, stop }
    }

    fn settings(&self, args: &[&str]) -> EntrySettings {
        let log = self.log.address.to_string();
        let flags = format!(
            "--vm entry-1 --data-centre bp-a --region hu-central --listen {ANY_PORT} \
             --peer-listen {ANY_PORT} --admin {ANY_PORT} --log {log}"
        );
        let mut all: Vec<&str> = flags.split(' ').collect();
        all.extend(args);
        EntrySettings::read("entry", &all, &std::collections::BTreeMap::new()).unwrap()
    }

    /// Starts an entry and waits until it is ready.
    pub(crate) async fn start_ready(&self, args: &[&str]) -> StartedEntry {
        let started = self.start(args);
        self.wait_until(|| started.entry.is_ready()).await;
        started
    }

    /// Starts sides that share `scripts`, one per attempt, and report to the entry.
    pub(crate) async fn start_sides(
        &self,
        started: &StartedEntry,
        pool: &'static str,
        count: usize,
        scripts: &[Vec<Action>],
    ) -> Vec<FakeSide> {
        let scripts = Rc::new(RefCell::new(scripts.iter().cloned().collect()));
        let names = ["side-1", "side-2", "side-3", "side-4"];
        let mut sides = Vec::new();
        for name in names.into_iter().take(count) {
            let side = FakeSide::start(name, &scripts, &self.timer);
            let entry = started.entry.addresses().peers;
            side.start_reporting(&self.client, entry, pool).await;
            sides.push(side);
        }
        sides
    }

    pub(crate) fn caller(&self, started: &StartedEntry) -> Caller {
        Caller {
            client: self.client.clone(),
            entry: started.entry.addresses().callers,
        }
    }

    /// Gets a path from an entry's admin listener as text.
    pub(crate) async fn get_admin(&self, started: &StartedEntry, path: &str) -> String {
        self.get(started.entry.addresses().admin, path).await
    }

    /// Gets a path as text.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> String {
        let mut request = http::Request::new(Bytes::new());
        *request.uri_mut() = path.parse().unwrap();
        let timeout = Duration::from_secs(2);
        let peer = address.to_string();
        let response = self.client.send(&peer, request, timeout);
        let body = response.await.unwrap().read(1 << 20, timeout).await;
        String::from_utf8(body.unwrap()).unwrap()
    }

    /// Waits until `condition` holds, for at most ten seconds.
    pub(crate) async fn wait_until(&self, condition: impl Fn() -> bool) {
        let end = self.timer.now().0 + 10_000;
        while !condition() {
            assert!(
                self.timer.now().0 < end,
                "condition not met within ten seconds"
            );
            self.timer.sleep(Duration::from_millis(5)).await;
        }
    }
}

fn test_log() -> Log {
    let level = if std::env::var_os("ENTRY_TEST_LOG").is_some() {
        Level::Debug
    } else {
        Level::Off
    };
    Log::new_ext(&LogOptions {
        level,
        ..LogOptions::default()
    })
}

/// Configuration of most tests.
pub(crate) fn default_config() -> String {
    config_with("")
}

/// Configuration of most tests with additional TOML tables.
pub(crate) fn config_with(extra_tables: &str) -> String {
    let desk_hash = hash_key(DESK_KEY);
    let guest_hash = hash_key("key-of-guest");
    format!(
        "[base.magyar-7b]
context = 8192
[adapter.tour]
base = 'magyar-7b'
default = 'v1'
version.v1.path = 'tour/v1'
version.v2.path = 'tour/v2'
[adapter.brief]
base = 'magyar-7b'
version.v1.path = 'brief/v1'
[pool.engines]
kind = 'model'
base = 'magyar-7b'
slots = 4
batch = 8
[pool.bookings]
kind = 'service'
concurrency = 8
[service.seats]
pool = 'bookings'
[[service.seats.route]]
prefix = '/seats/list'
idempotent = true
[[service.seats.route]]
prefix = '/seats/hold'
idempotent = false
[[service.seats.route]]
prefix = '/seats/mail'
idempotent = false
key = 'optional'
[caller.desk]
keys = ['sha256:{desk_hash}']
priority = 3
adapters = ['*']
services = ['seats']
[caller.guest]
keys = ['sha256:{guest_hash}']
adapters = ['brief']
[limits]
deadline_ms = 5000
longest_ms = 20000
body = 4096
{extra_tables}"
    )
}
