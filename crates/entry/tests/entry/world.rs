//! An entry with what surrounds it.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_config::model::Config;
use pumicecleat_config::{Change, ChangeId, Fold, Record, Source, hash_key, parse};
use pumicecleat_entry::{Entry, EntryContext, EntrySettings};
use pumicecleat_infra::{HttpLog, Log as Records, Peers};
use pumicecleat_net::{Client, ClientOptions, Timer, run};
use pumicecleat_ops::{Level, Log, LogOptions, Settings, Stop};
use pumicecleat_standin::{Log as StandinLog, LogFaults, Running};
use pumicecleat_types::LogRecord;

use crate::caller::{Caller, KEY};
use crate::script::Act;
use crate::side::FakeSide;

/// Any free port of loopback.
const ANY: &str = "127.0.0.1:0";

/// Pool of the model of most cases.
pub(crate) const POOL: &str = "engines";

/// Pool of the plain service.
pub(crate) const SERVICES: &str = "bookings";

/// What surrounds entries.
pub(crate) struct World {
    pub(crate) timer: Timer,
    pub(crate) client: Client,
    pub(crate) log: Running<LogFaults>,
    /// What the author of the configuration holds.
    fold: Fold,
    changes: u32,
}

/// An author of the configuration that races another.
pub(crate) struct Rival {
    records: Rc<dyn Records>,
    fold: Fold,
}

impl Rival {
    /// Appends a change from what it holds.
    pub(crate) async fn apply(&mut self, config: &str) {
        let id = ChangeId::try_from("change-of-rival".to_owned()).unwrap();
        let (revision, from) = (self.fold.revision(), self.fold.config());
        let change = Change::new(id, revision, from, &read_config(config), "vithu");
        let data = Record::Change(Box::new(change)).to_bytes();
        self.records.append("config", vec![data]).await.unwrap();
    }
}

fn read_config(text: &str) -> Config {
    let name = "test.toml";
    let bytes = text.as_bytes();
    parse(&[Source { name, bytes }]).unwrap()
}

/// An entry, with the handle that stops it.
pub(crate) struct Started {
    pub(crate) entry: Entry,
    pub(crate) stop: Stop,
}

/// Runs a case on a loop of its own.
pub(crate) fn case<F: Future>(work: impl FnOnce() -> F) -> F::Output {
    run(async { work().await }).unwrap()
}

impl World {
    /// Surroundings with the usual configuration in the log.
    pub(crate) async fn new() -> Self {
        let mut world = Self::bare();
        let config = usual_config();
        world.apply(&config).await;
        world
    }

    /// Surroundings with an empty log.
    pub(crate) fn bare() -> Self {
        let timer = Timer::start();
        let options = pumicecleat_standin::LogOptions::default();
        Self {
            client: Client::new_ext(ClientOptions::default(), &timer),
            log: StandinLog::start(options, &timer).unwrap(),
            timer,
            fold: Fold::new(),
            changes: 0,
        }
    }

    /// Appends a change to `config` and gives its revision.
    pub(crate) async fn apply(&mut self, config: &str) -> u64 {
        let config = read_config(config);
        self.changes += 1;
        let id = ChangeId::try_from(format!("change-{}", self.changes)).unwrap();
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

    /// Appends the state so far as a snapshot.
    pub(crate) async fn append_snapshot(&mut self) {
        let snapshot = Record::Snapshot(Box::new(self.fold.snapshot()));
        self.append(snapshot.to_bytes()).await;
    }

    async fn append(&mut self, data: Vec<u8>) {
        let records = self.records();
        let appended = records.append("config", vec![data.clone()]).await.unwrap();
        let (offset, at) = (appended.first, appended.at);
        self.fold.apply(&LogRecord { offset, at, data }).unwrap();
    }

    /// Offset of the next record.
    pub(crate) fn next(&self) -> u64 {
        self.fold.next()
    }

    pub(crate) fn records(&self) -> Rc<dyn Records> {
        let peers = Peers::parse(&self.log.address.to_string());
        Rc::new(HttpLog::new(&self.client, peers, Duration::from_secs(1)))
    }

    /// Another author, who holds what this one holds now.
    pub(crate) fn rival(&self) -> Rival {
        Rival {
            records: self.records(),
            fold: self.fold.clone(),
        }
    }

    /// Starts an entry under further settings.
    pub(crate) fn start(&self, args: &[&str]) -> Started {
        let parts = EntryContext {
            log_service: self.records(),
            vm_list: None,
        };
        self.start_with(args, &parts)
    }

    /// Starts an entry on parts of the case's own.
    pub(crate) fn start_with(&self, args: &[&str], parts: &EntryContext) -> Started {
        let settings = self.settings(args);
        let stop = Stop::without_signals();
        let log = quiet();
        let entry = Entry::start(&settings, parts, &self.timer, &log, &stop).unwrap();
        Started { entry, stop }
    }

    fn settings(&self, args: &[&str]) -> EntrySettings {
        let log = self.log.address.to_string();
        let flags = format!(
            "--vm entry-1 --data-centre bp-a --region hu-central --listen {ANY} --peer-listen {ANY} \
             --admin {ANY} --log {log}"
        );
        let mut all: Vec<&str> = flags.split(' ').collect();
        all.extend(args);
        EntrySettings::read("entry", &all, &std::collections::BTreeMap::new()).unwrap()
    }

    /// Starts an entry that is ready.
    pub(crate) async fn start_ready(&self, args: &[&str]) -> Started {
        let started = self.start(args);
        self.until(|| started.entry.is_ready()).await;
        started
    }

    /// Starts sides that play one script an attempt, and lets them report to the entry.
    pub(crate) async fn sides(
        &self,
        started: &Started,
        pool: &'static str,
        count: usize,
        scripts: &[Vec<Act>],
    ) -> Vec<FakeSide> {
        let scripts = Rc::new(RefCell::new(scripts.iter().cloned().collect()));
        let names = ["side-1", "side-2", "side-3", "side-4"];
        let mut sides = Vec::new();
        for name in names.into_iter().take(count) {
            let side = FakeSide::start(name, &scripts, &self.timer);
            let entry = started.entry.addresses().peers;
            side.join(&self.client, entry, pool).await;
            sides.push(side);
        }
        sides
    }

    pub(crate) fn caller(&self, started: &Started) -> Caller {
        Caller {
            client: self.client.clone(),
            entry: started.entry.addresses().callers,
        }
    }

    /// Text that an entry's admin listener gives.
    pub(crate) async fn admin(&self, started: &Started, path: &str) -> String {
        self.get(started.entry.addresses().admin, path).await
    }

    /// Text at a path.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> String {
        let mut request = http::Request::new(Bytes::new());
        *request.uri_mut() = path.parse().unwrap();
        let span = Duration::from_secs(2);
        let peer = address.to_string();
        let sent = self.client.send(&peer, request, span);
        let body = sent.await.unwrap().read(1 << 20, span).await;
        String::from_utf8(body.unwrap()).unwrap()
    }

    /// Waits until something holds, for ten seconds at most.
    pub(crate) async fn until(&self, holds: impl Fn() -> bool) {
        let end = self.timer.now().0 + 10_000;
        while !holds() {
            assert!(self.timer.now().0 < end, "not within ten seconds");
            self.timer.sleep(Duration::from_millis(5)).await;
        }
    }
}

fn quiet() -> Log {
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

/// Configuration of most cases.
pub(crate) fn usual_config() -> String {
    config_with("")
}

/// Configuration of most cases with further tables.
pub(crate) fn config_with(more: &str) -> String {
    let desk = hash_key(KEY);
    let guest = hash_key("key-of-guest");
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
keys = ['sha256:{desk}']
priority = 3
adapters = ['*']
services = ['seats']
[caller.guest]
keys = ['sha256:{guest}']
adapters = ['brief']
[limits]
deadline_ms = 5000
longest_ms = 20000
body = 4096
{more}"
    )
}
