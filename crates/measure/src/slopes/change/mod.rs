//! A change's way from the log to being in force at the sides of a region.
//!
//! Entries and sides are the real ones. An entry has a thread of its own, or is a process that
//! `region.sh` started; sides share a few threads of this one. Sides know the entries from their settings and have no engine. One author appends
//! changes at the rate of the size to come; each side's revision is looked at every 20 ms, and the
//! time told is from just before the append. Entries that are dead take connections and say
//! nothing, in a row in the order in which sides ask.

mod author;
mod sides;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::SlopesArgs;
use super::world::{Counts, World, declare_in, start_entry, start_world};
use crate::json::print;
use crate::path::{Thread, resident};

/// Time in which the pace of reports settles.
const SETTLE: Duration = Duration::from_secs(20);

/// Time for the last changes to arrive.
const TAIL: Duration = Duration::from_secs(17);

/// Threads that the sides share.
const THREADS: u32 = 6;

/// Address of the dead, behind all others in the order of addresses.
const DEAD: &str = "127.0.0.2:0";

/// What author and sides share.
#[derive(Default)]
struct Shared {
    /// Time of each change, by its revision.
    appended: Mutex<BTreeMap<u64, Instant>>,
    /// Milliseconds from a change's append until each side had it in force.
    arrived: Mutex<Vec<u64>>,
}

impl Shared {
    fn note(&self, revision: u64, at: Instant) {
        if let Ok(mut appended) = self.appended.lock() {
            appended.insert(revision, at);
        }
    }

    fn forget(&self, revision: u64) {
        if let Ok(mut appended) = self.appended.lock() {
            appended.remove(&revision);
        }
    }
}

/// What one size showed.
#[derive(Serialize)]
struct Line {
    measure: &'static str,
    part: &'static str,
    figure: &'static str,
    unit: &'static str,
    sides: u64,
    /// Entries, with the dead.
    entries: usize,
    dead: u32,
    adapters: u32,
    changes: usize,
    /// Changes times sides, and those that arrived while it was watched.
    due: usize,
    seen: usize,
    half: u64,
    most_of_100: u64,
    most: u64,
    resident: u64,
}

/// Runs each size.
pub(super) fn run(args: &SlopesArgs) {
    for &sides in &args.region.0 {
        watch(args, u32::try_from(sides).unwrap_or(u32::MAX));
    }
}

/// Where the log and the entries are.
struct Region {
    log: String,
    entries: Vec<String>,
}

/// Starts log and entries, or takes those of other processes.
fn region(args: &SlopesArgs, count: u32) -> Region {
    let adapters = args.adapters;
    if let Some(log) = args.log.clone() {
        let declared = Thread::start("declare", move |told| declare_in(log, adapters, told));
        return Region {
            log: declared.told,
            entries: args.peers.split(',').map(str::to_owned).collect(),
        };
    }
    let counts = Counts {
        adapters,
        sides: count,
    };
    let world: Thread<World> = Thread::start("world", move |told| start_world(counts, told));
    let start = |index| {
        let platform = world.told.clone();
        Thread::start("entry", move |told| start_entry(platform, index, told)).told
    };
    Region {
        log: world.told.log.clone(),
        entries: (0..args.entries).map(start).collect(),
    }
}

fn watch(args: &SlopesArgs, count: u32) {
    let Region { log, mut entries } = region(args, count);
    let dead: Vec<TcpListener> = (0..args.dead).map(|_| listen_only()).collect();
    entries.extend(dead.iter().map(address));
    let shared = Arc::new(Shared::default());
    let threads = sides::start(count, &entries, &shared);
    sleep(SETTLE);
    let held = Arc::clone(&shared);
    let (adapters, span) = (args.adapters, Duration::from_secs(args.watch_s));
    let author = std::thread::spawn(move || author::run_for(log, adapters, span, &held));
    author.join().expect("the author appends to the end");
    sleep(TAIL);
    report(args, count, entries.len(), &shared);
    threads.stop();
}

fn listen_only() -> TcpListener {
    TcpListener::bind(DEAD).expect("a loopback address")
}

fn address(listener: &TcpListener) -> String {
    let local = listener.local_addr().expect("a bound socket");
    local.to_string()
}

fn report(args: &SlopesArgs, count: u32, entries: usize, shared: &Shared) {
    let changes = shared.appended.lock().map_or(0, |a| a.len());
    let mut times = shared.arrived.lock().map(|a| a.clone()).unwrap_or_default();
    times.sort_unstable();
    let at = |percent: usize| {
        let index = times.len() * percent / 100;
        let within = index.min(times.len().saturating_sub(1));
        times.get(within).copied().unwrap_or(0)
    };
    print(&Line {
        measure: "slopes",
        part: "change",
        figure: "from the append until in force at a side",
        unit: "ms",
        sides: u64::from(count),
        entries,
        dead: args.dead,
        adapters: args.adapters,
        changes,
        due: changes * count as usize,
        seen: times.len(),
        half: at(50),
        most_of_100: at(99),
        most: at(100),
        resident: resident(),
    });
}
