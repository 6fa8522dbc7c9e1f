//! The platform's stand-ins and the entry.

use std::collections::BTreeMap;
use std::sync::mpsc;
use std::time::Duration;

use pumicecleat_config::{Change, ChangeId, Fold, Record};
use pumicecleat_entry::{Entry, EntryContext, EntrySettings};
use pumicecleat_infra::{HttpLog, Log as Records, Peers};
use pumicecleat_net::{Client, ClientOptions, Timer};
use pumicecleat_ops::{Level, Log, LogOptions, Settings, Stop};
use pumicecleat_standin::{VmList, VmListOptions};

use super::fleet::{config, listed};

const PAUSE: Duration = Duration::from_millis(20);
const SPAN: Duration = Duration::from_secs(20);

/// Addresses of the platform.
#[derive(Clone)]
pub(super) struct World {
    /// Address of the log.
    pub(super) log: String,
    vms: String,
}

/// Counts of a world.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counts {
    /// Adapters declared.
    pub(super) adapters: u32,
    /// Sides in the VM list.
    pub(super) sides: u32,
}

/// Starts the log, with a configuration in it, and the VM list.
pub(super) async fn start_world(counts: Counts, told: mpsc::Sender<World>) {
    let timer = Timer::start();
    let options = pumicecleat_standin::LogOptions::default();
    let log = pumicecleat_standin::Log::start(options, &timer).expect("the log starts");
    let options = VmListOptions {
        vms: (0..counts.sides).map(listed).collect(),
        ..VmListOptions::default()
    };
    let vms = VmList::start(options, &timer).expect("the VM list starts");
    let world = World {
        log: log.address.to_string(),
        vms: vms.address.to_string(),
    };
    declare(&world.log, counts.adapters, &timer).await;
    // The starter waits for it.
    let _ = told.send(world);
    std::future::pending::<()>().await;
}

/// Declares the configuration in a log of its own process, and tells its address.
pub(super) async fn declare_in(log: String, adapters: u32, told: mpsc::Sender<String>) {
    declare(&log, adapters, &Timer::start()).await;
    // The starter waits for it.
    let _ = told.send(log);
    std::future::pending::<()>().await;
}

/// Appends the configuration, and reads it once so that the log's buffers have their size.
async fn declare(log: &str, adapters: u32, timer: &Timer) {
    let declared = config(adapters);
    let fold = Fold::new();
    let id = ChangeId::try_from("first".to_owned()).expect("a short id");
    let change = Change::new(id, 0, fold.config(), &declared, "measure");
    let record = Record::Change(Box::new(change)).to_bytes();
    let client = Client::new_ext(ClientOptions::default(), timer);
    let records = HttpLog::new(&client, Peers::parse(log), SPAN);
    let appended = records.append("config", vec![record]).await;
    appended.expect("the log takes the configuration");
    let read = records.read("config", 0, 1, Duration::ZERO).await;
    read.expect("the log gives it back");
}

/// Starts an entry and tells its peer address once it is ready.
pub(super) async fn start_entry(world: World, index: u32, told: mpsc::Sender<String>) {
    let timer = Timer::start();
    let vm = format!("entry-{index}");
    let args = [
        ["--vm", &vm],
        ["--data-centre", "centre-01"],
        ["--region", "region-1"],
        ["--listen", "127.0.0.1:0"],
        ["--peer-listen", "127.0.0.1:0"],
        ["--admin", "127.0.0.1:0"],
        ["--log", &world.log],
        ["--vms", &world.vms],
    ]
    .concat();
    let settings = EntrySettings::read("entry", &args, &BTreeMap::new()).expect("settings");
    let parts = EntryContext::over_http(&settings, &timer);
    let stop = Stop::without_signals();
    let entry = Entry::start(&settings, &parts, &timer, &quiet(), &stop).expect("entry starts");
    while !entry.is_ready() {
        timer.sleep(PAUSE).await;
    }
    // The starter waits for it.
    let _ = told.send(entry.addresses().peers.to_string());
    entry.run().await;
}

/// A log that says nothing.
pub(super) fn quiet() -> Log {
    Log::new_ext(&LogOptions {
        level: Level::Off,
        ..LogOptions::default()
    })
}
