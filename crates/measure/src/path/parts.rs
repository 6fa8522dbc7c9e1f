//! The parts: platform and engine, side, entry.

use std::collections::BTreeMap;
use std::time::Duration;

use pumicecleat_config::{Change, ChangeId, Fold, Record, Source, parse};
use pumicecleat_entry::{Entry, EntryContext, EntrySettings};
use pumicecleat_infra::{HttpLog, Log as Records, Peers};
use pumicecleat_net::{Client, ClientOptions, Timer};
use pumicecleat_ops::{Level, Log, LogOptions, Settings, Stop};
use pumicecleat_side::{Side, SideSettings};
use pumicecleat_standin::{Engine, EngineOptions};

use super::PathArgs;
use super::thread::Part;

const PAUSE: Duration = Duration::from_millis(20);
const SPAN: Duration = Duration::from_secs(5);

/// Bearer key of the one caller.
pub(super) const KEY: &str = "measure-key";
/// Model that callers name for the n-th adapter, the engines' own name for it too.
pub(super) fn model(n: usize) -> String {
    format!("a{n}@v1")
}

/// All parts.
pub(super) struct Parts {
    /// Address of the engine.
    pub(super) engine: String,
    /// Address of the entry for callers.
    pub(super) entry: String,
    entry_part: Part<EntryAt>,
    side_part: Part<()>,
}

#[derive(Clone)]
struct EntryAt {
    callers: String,
    peers: String,
}

struct World {
    engine: String,
    log: String,
}

/// Processor times of entry and side, and what they waited for a core.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    pub(super) entry: Duration,
    pub(super) side: Duration,
    /// Time that the entry was ready to run and had no core.
    pub(super) entry_wait: Duration,
    pub(super) side_wait: Duration,
}

impl Times {
    pub(super) fn since(&self, before: &Self) -> Self {
        Self {
            entry: self.entry.saturating_sub(before.entry),
            side: self.side.saturating_sub(before.side),
            entry_wait: self.entry_wait.saturating_sub(before.entry_wait),
            side_wait: self.side_wait.saturating_sub(before.side_wait),
        }
    }
}

impl Parts {
    /// Starts all parts, and waits until a request would be answered.
    pub(super) fn start(args: &PathArgs, streams: usize) -> Self {
        let options = EngineOptions {
            base: "m".into(),
            batch: streams.max(1),
            step_ms: args.step_ms,
            slow_ms: args.step_ms,
            ..EngineOptions::default()
        };
        let world = Part::start("world", move |told| start_world(options, told));
        let log = world.told.log.clone();
        let entry_part = Part::start("entry", move |told| start_entry(log, told));
        let peers = entry_part.told.peers.clone();
        let engine = world.told.engine.clone();
        let side_part = Part::start("side", move |told| start_side(engine, peers, told));
        Self {
            engine: world.told.engine,
            entry: entry_part.told.callers.clone(),
            entry_part,
            side_part,
        }
    }

    /// Processor times so far.
    pub(super) fn times(&self) -> Times {
        Times {
            entry: self.entry_part.time(),
            side: self.side_part.time(),
            entry_wait: self.entry_part.wait(),
            side_wait: self.side_part.wait(),
        }
    }
}

async fn start_world(options: EngineOptions, told: std::sync::mpsc::Sender<World>) {
    let timer = Timer::start();
    let batch = options.batch;
    let engine = Engine::start(options, &timer).expect("the engine starts");
    let log = pumicecleat_standin::Log::start(pumicecleat_standin::LogOptions::default(), &timer);
    let log = log.expect("the log starts");
    append_config(&log.address.to_string(), batch, &timer).await;
    let world = World {
        engine: engine.address.to_string(),
        log: log.address.to_string(),
    };
    // The starter waits for it.
    let _ = told.send(world);
    std::future::pending::<()>().await;
}

async fn append_config(log: &str, batch: usize, timer: &Timer) {
    let text = format!(
        "[base.m]\ncontext = 4096\n[adapter.a0]\nbase = 'm'\nversion.v1.path = 'a/v1'\n\
         [caller.c]\nkeys = ['{}']\nclaim = 1\nadapters = ['*']\n\
         [pool.lm]\nkind = 'model'\nbase = 'm'\nslots = 4\nbatch = {batch}\nqueue = 10000\n",
        pumicecleat_config::hash_key(KEY)
    );
    let source = Source {
        name: "measure.toml",
        bytes: text.as_bytes(),
    };
    let config = parse(&[source]).expect("the configuration is right");
    let id = ChangeId::try_from("measure".to_owned()).expect("a short id");
    let fold = Fold::new();
    let change = Change::new(id, fold.revision(), fold.config(), &config, "measure");
    let client = Client::new_ext(ClientOptions::default(), timer);
    let records = HttpLog::new(&client, Peers::parse(log), SPAN);
    let record = Record::Change(Box::new(change)).to_bytes();
    let appended = records.append("config", vec![record]).await;
    appended.expect("the log takes the configuration");
}

async fn start_entry(log: String, told: std::sync::mpsc::Sender<EntryAt>) {
    let timer = Timer::start();
    let args = [
        "--vm",
        "entry",
        "--data-centre",
        "d",
        "--region",
        "r",
        "--listen",
        "127.0.0.1:0",
        "--peer-listen",
        "127.0.0.1:0",
        "--admin",
        "127.0.0.1:0",
        "--log",
        &log,
    ];
    let settings = EntrySettings::read("entry", &args, &BTreeMap::new()).expect("settings");
    let parts = EntryContext::over_http(&settings, &timer);
    let stop = Stop::without_signals();
    let entry = Entry::start(&settings, &parts, &timer, &quiet(), &stop).expect("entry starts");
    while !entry.is_ready() {
        timer.sleep(PAUSE).await;
    }
    let at = EntryAt {
        callers: entry.addresses().callers.to_string(),
        peers: entry.addresses().peers.to_string(),
    };
    // The starter waits for it.
    let _ = told.send(at);
    entry.run().await;
}

async fn start_side(engine: String, entry: String, told: std::sync::mpsc::Sender<()>) {
    let timer = Timer::start();
    let args = [
        "--vm",
        "side",
        "--data-centre",
        "d",
        "--region",
        "r",
        "--listen",
        "127.0.0.1:0",
        "--admin",
        "127.0.0.1:0",
        "--slot",
        "127.0.0.1:0",
        "--pool",
        "lm",
        "--upstream",
        &engine,
        "--entries",
        &entry,
    ];
    let settings = SideSettings::read("side", &args, &BTreeMap::new()).expect("settings");
    let side = Side::start(settings, &timer, &quiet()).expect("side starts");
    while !side.is_ready() {
        timer.sleep(PAUSE).await;
    }
    // The entry hears of it by the next report.
    timer.sleep(SPAN / 5).await;
    // The starter waits for it.
    let _ = told.send(());
    std::future::pending::<()>().await;
}

fn quiet() -> Log {
    Log::new_ext(&LogOptions {
        level: Level::Off,
        ..LogOptions::default()
    })
}
