//! Real sides on a few threads, and a watch over the revision that each has in force.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use pumicecleat_net::Timer;
use pumicecleat_ops::{Log, Settings};
use pumicecleat_side::{Side, SideSettings};

use super::{Shared, THREADS};
use crate::path::Thread;
use crate::slopes::world::quiet;

/// Time between two looks at the revisions.
const LOOK: Duration = Duration::from_millis(20);

/// Time between the starts of two sides of a thread: each opens a connection to every entry.
const PAUSE: Duration = Duration::from_millis(250);

/// Sides until they are told to stop.
pub(super) struct Running(Arc<AtomicBool>);

impl Running {
    /// Ends all sides.
    pub(super) fn stop(self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sides of one thread.
struct Group {
    names: Vec<String>,
    entries: String,
    shared: Arc<Shared>,
    stopped: Arc<AtomicBool>,
}

/// Starts so many sides; ends once each has a configuration.
pub(super) fn start(count: u32, entries: &[String], shared: &Arc<Shared>) -> Running {
    let stopped = Arc::new(AtomicBool::new(false));
    let mut started = Vec::new();
    for thread in 0..THREADS {
        let names = (thread..count).step_by(THREADS as usize);
        let group = Group {
            names: names.map(|n| format!("engine-{n:05}")).collect(),
            entries: entries.join(","),
            shared: Arc::clone(shared),
            stopped: Arc::clone(&stopped),
        };
        started.push(std::thread::spawn(move || {
            Thread::start("sides", move |told| group.run(told));
        }));
    }
    for one in started {
        one.join().expect("the sides start");
    }
    Running(stopped)
}

impl Group {
    async fn run(self, told: mpsc::Sender<()>) {
        let timer = Timer::start();
        let log = quiet();
        let mut sides = Vec::new();
        for name in &self.names {
            let side = self.start_one(name, &timer, &log);
            while side.revision() == 0 {
                timer.sleep(LOOK).await;
            }
            sides.push((side.revision(), side));
            timer.sleep(PAUSE).await;
        }
        // The starter waits for it.
        let _ = told.send(());
        while !self.stopped.load(Ordering::Relaxed) {
            for (known, side) in &mut sides {
                self.note(known, side.revision());
            }
            timer.sleep(LOOK).await;
        }
    }

    fn start_one(&self, name: &str, timer: &Timer, log: &Log) -> Side {
        let args = [
            ["--vm", name],
            ["--data-centre", "centre-01"],
            ["--region", "region-1"],
            ["--listen", "127.0.0.1:0"],
            ["--slot", "127.0.0.1:0"],
            ["--admin", "127.0.0.1:0"],
            ["--upstream", "127.0.0.1:9"],
            ["--pool", "pool-0"],
            ["--entries", &self.entries],
        ]
        .concat();
        let settings = SideSettings::read("side", &args, &BTreeMap::new()).expect("settings");
        Side::start(settings, timer, log).expect("a side starts")
    }

    /// Notes changes that came in force since the last look.
    fn note(&self, known: &mut u64, revision: u64) {
        if revision == *known {
            return;
        }
        let now = Instant::now();
        let times: Vec<u64> = match self.shared.appended.lock() {
            Ok(appended) => appended
                .range(*known + 1..=revision)
                .map(|(_, at)| u64::try_from((now - *at).as_millis()).unwrap_or(u64::MAX))
                .collect(),
            Err(_) => Vec::new(),
        };
        if let Ok(mut arrived) = self.shared.arrived.lock() {
            arrived.extend(times);
        }
        *known = revision;
    }
}
