//! The parts of the demo.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pumicecleat_config::{Source, parse};
use pumicecleat_entry::{Entry, EntryContext, EntrySettings};
use pumicecleat_net::Timer;
use pumicecleat_ops::{Level, Log, LogOptions, Settings, Stop};
use pumicecleat_side::{Side, SideSettings};
use pumicecleat_standin::{
    Engine, EngineFaults, EngineOptions, LogFaults, Running, Service, ServiceFaults,
    ServiceOptions, Store, StoreFaults, StoreOptions,
};

use super::fault;
use crate::apply::Applying;
use crate::error::CliError;
use crate::reader::ConfigReader;

const SAMPLE: &str = include_str!("../../../../examples/demo.toml");
const ENGINES: usize = 2;
/// Longest wait for all parts to be ready.
const START: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for the configuration's verdict, seconds.
const VERDICT: u64 = 10;

/// Entry, sides and stand-ins.
pub(super) struct World {
    pub(super) timer: Timer,
    pub(super) engines: Vec<Running<EngineFaults>>,
    pub(super) service: Running<ServiceFaults>,
    entry: Entry,
    sides: Vec<Side>,
    /// Held for as long as the demo lives.
    platform: Platform,
}

struct Platform {
    log: Running<LogFaults>,
    store: Running<StoreFaults>,
}

impl World {
    /// Starts all parts and puts the sample configuration in force.
    pub(super) async fn start(port: u16, stop: &Stop) -> Result<Self, CliError> {
        let timer = Timer::start();
        let quiet = Log::new_ext(&LogOptions {
            level: Level::Off,
            ..LogOptions::default()
        });
        let platform = start_platform(&timer)?;
        apply(&platform.log.address.to_string(), &timer).await?;
        let entry = start_entry(port, &platform, &timer, &quiet, stop)?;
        let engines = start_engines(&platform, &timer)?;
        let service = Service::start(ServiceOptions::default(), &timer);
        let service = service.map_err(|e| fault("start service", &e))?;
        let starter = SideStarter {
            entry: entry.addresses().peers,
            log: platform.log.address,
            timer: &timer,
            quiet: &quiet,
        };
        let mut sides = Vec::new();
        for (n, engine) in engines.iter().enumerate() {
            sides.push(starter.start(&format!("engine-{n}"), "engines", engine.address)?);
        }
        sides.push(starter.start("booking-0", "booking", service.address)?);
        let world = Self {
            timer,
            engines,
            service,
            entry,
            sides,
            platform,
        };
        world.until_ready().await?;
        Ok(world)
    }

    /// Revision in force.
    pub(super) fn revision(&self) -> u64 {
        self.entry.revision()
    }

    /// Address for callers.
    pub(super) fn callers(&self) -> SocketAddr {
        self.entry.addresses().callers
    }

    /// Admin address of the entry.
    pub(super) fn admin(&self) -> SocketAddr {
        self.entry.addresses().admin
    }

    /// Ends all parts, the entry first.
    pub(super) async fn finish(self, stop: &Stop) {
        self.entry.run().await;
        for side in &self.sides {
            side.finish(stop).await;
        }
        self.platform.log.stop();
        self.platform.store.stop();
    }

    async fn until_ready(&self) -> Result<(), CliError> {
        let ready = async {
            while !self.entry.is_ready() || !self.sides.iter().all(Side::is_ready) {
                self.timer.sleep(PAUSE).await;
            }
        };
        let waited = self.timer.within(START, ready).await;
        waited.map_err(|_| fault("start", &"parts are not ready in time"))
    }
}

fn start_platform(timer: &Timer) -> Result<Platform, CliError> {
    let log = pumicecleat_standin::Log::start(pumicecleat_standin::LogOptions::default(), timer);
    let store = Store::start(StoreOptions::default(), timer);
    Ok(Platform {
        log: log.map_err(|e| fault("start log", &e))?,
        store: store.map_err(|e| fault("start store", &e))?,
    })
}

fn start_engines(
    platform: &Platform,
    timer: &Timer,
) -> Result<Vec<Running<EngineFaults>>, CliError> {
    let options = EngineOptions {
        base: "hu-base".into(),
        slots: 2,
        batch: 8,
        store: Some(platform.store.address.to_string()),
        ..EngineOptions::default()
    };
    let engines = (0..ENGINES).map(|_| Engine::start(options.clone(), timer));
    let engines: Result<Vec<_>, _> = engines.collect();
    engines.map_err(|e| fault("start engine", &e))
}

fn start_entry(
    port: u16,
    platform: &Platform,
    timer: &Timer,
    quiet: &Log,
    stop: &Stop,
) -> Result<Entry, CliError> {
    let listen = format!("127.0.0.1:{port}");
    let log = platform.log.address.to_string();
    let args = [
        "--vm",
        "entry-0",
        "--data-centre",
        "demo",
        "--region",
        "demo",
        "--listen",
        &listen,
        "--peer-listen",
        "127.0.0.1:0",
        "--admin",
        "127.0.0.1:0",
        "--log",
        &log,
    ];
    let settings = EntrySettings::read("demo", &args, &BTreeMap::new());
    let settings = settings.map_err(|e| fault("settings of entry", &format!("{e:?}")))?;
    let parts = EntryContext::over_http(&settings, timer);
    let entry = Entry::start(&settings, &parts, timer, quiet, stop);
    entry.map_err(|e| fault("start entry", &e))
}

struct SideStarter<'a> {
    entry: SocketAddr,
    log: SocketAddr,
    timer: &'a Timer,
    quiet: &'a Log,
}

impl SideStarter<'_> {
    fn start(&self, vm: &str, pool: &str, upstream: SocketAddr) -> Result<Side, CliError> {
        let upstream = upstream.to_string();
        let entry = self.entry.to_string();
        let log = self.log.to_string();
        let args = [
            "--vm",
            vm,
            "--data-centre",
            "demo",
            "--region",
            "demo",
            "--listen",
            "127.0.0.1:0",
            "--admin",
            "127.0.0.1:0",
            "--slot",
            "127.0.0.1:0",
            "--pool",
            pool,
            "--upstream",
            &upstream,
            "--log",
            &log,
            "--entries",
            &entry,
        ];
        let settings = SideSettings::read("demo", &args, &BTreeMap::new());
        let settings = settings.map_err(|e| fault("settings of side", &format!("{e:?}")))?;
        let side = Side::start(settings, self.timer, self.quiet);
        side.map_err(|e| fault("start side", &e))
    }
}

async fn apply(log: &str, timer: &Timer) -> Result<(), CliError> {
    let source = Source {
        name: "examples/demo.toml",
        bytes: SAMPLE.as_bytes(),
    };
    let config = parse(&[source]).map_err(|faults| CliError::Faulty { faults })?;
    let mut reader = ConfigReader::new(log, timer);
    reader.catch_up().await?;
    let applying = Applying {
        author: "demo",
        base: reader.fold.revision(),
        wait: VERDICT,
        timer,
    };
    applying.apply(&mut reader, &config).await.map(|_| ())
}
